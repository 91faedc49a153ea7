package topazladder.endpoint;

/** Exponential backoff: how long an endpoint stays ejected before it is tried again. */
public final class EjectionBackoff {
    private static final double INITIAL_SECONDS = 2;
    private static final int MAX_DOUBLINGS = 5;

    private EjectionBackoff() {}

    /** @param failedReturns times that the endpoint was tried again and ejected anew */
    public static double seconds(long failedReturns) {
        return INITIAL_SECONDS * StrictMath.pow(2, Math.min(MAX_DOUBLINGS, Math.max(0, failedReturns)));
    }
}
