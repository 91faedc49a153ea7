package topazladder.endpoint;

/**
 * Slow start of an endpoint that returns from ejection: the share of its usual load starts small and doubles in every
 * step, as admission levels do. All instances count from the same moment, so the endpoint never gets the full load of
 * one instance while the others hold back.
 */
public final class SlowStart {
    private static final double INITIAL_FRACTION = 1.0 / 32;
    private static final double DOUBLING_SECONDS = 1.5;

    private SlowStart() {}

    /** Fraction of the usual load after that many seconds; at most 1. */
    public static double fraction(double seconds) {
        return Math.min(1, INITIAL_FRACTION * StrictMath.pow(2, Math.max(0, seconds) / DOUBLING_SECONDS));
    }

    /** Seconds until the endpoint gets its full load. */
    public static double durationSeconds() {
        return DOUBLING_SECONDS * StrictMath.log(1 / INITIAL_FRACTION) / StrictMath.log(2);
    }
}
