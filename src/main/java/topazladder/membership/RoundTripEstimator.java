package topazladder.membership;

/** Smoothed mean and mean deviation of round-trip times, as TCP uses them for its retransmission timer (RFC 6298). */
final class RoundTripEstimator {
    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double TIMEOUT_DEVIATIONS = 4;

    private double mean = Double.NaN;
    private double deviation;

    void add(double roundTrip) {
        if (Double.isNaN(mean)) {
            mean = roundTrip;
            deviation = roundTrip / 2;
        } else {
            deviation += DEVIATION_GAIN * (Math.abs(roundTrip - mean) - deviation);
            mean += MEAN_GAIN * (roundTrip - mean);
        }
    }

    /** Seconds to wait for an answer, clamped to the bounds; {@code max} before the first sample. */
    double timeout(double min, double max) {
        return Double.isNaN(mean) ? max : Math.max(min, Math.min(max, mean + TIMEOUT_DEVIATIONS * deviation));
    }
}
