package topazladder.admission;

import java.util.Arrays;

/** Histogram of request ranks from 0 to 1, in bins of equal width, with decaying counts. */
final class RankHistogram {
    private static final int BINS = 256;

    private final double[] counts = new double[BINS];

    void add(double rank) {
        counts[Math.min(BINS - 1, (int) (rank * BINS))]++;
    }

    /** Multiplies every count by the factor, from 0 to 1. */
    void decay(double factor) {
        Arrays.setAll(counts, bin -> counts[bin] * factor);
    }

    /** The median of the ranks at or above the given rank, rounded up to the edge of a bin. */
    double medianFrom(double rank) {
        int firstBin = (int) Math.round(rank * BINS);
        double half = Arrays.stream(counts, firstBin, BINS).sum() / 2;
        int bin = firstBin;
        for (double sum = 0; bin < BINS && sum < half; bin++) {
            sum += counts[bin];
        }
        return (double) bin / BINS;
    }
}
