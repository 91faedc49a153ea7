package topazladder.admission;

import java.util.Arrays;

/** Counts requests by rank, from 0 to 1, in bins of equal width; old requests fade. */
final class RankHistogram {
    private static final int BINS = 256;

    private final double[] counts = new double[BINS];

    void add(double rank) {
        counts[Math.min(BINS - 1, (int) (rank * BINS))]++;
    }

    /** Multiplies every count by the factor, from 0 to 1. */
    void fade(double factor) {
        Arrays.setAll(counts, bin -> counts[bin] * factor);
    }

    /** The rank that halves the requests ranked at or above another, rounded up to the edge of a bin. */
    double medianFrom(double rank) {
        int from = (int) Math.round(rank * BINS);
        double half = Arrays.stream(counts, from, BINS).sum() / 2;
        int bin = from;
        for (double sum = 0; bin < BINS && sum < half; bin++) {
            sum += counts[bin];
        }
        return (double) bin / BINS;
    }
}
