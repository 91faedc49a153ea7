package topazladder.service;

/**
 * The final response to a request.
 *
 * @param status what became of the request
 * @param admissionLevel the level that the instance posts
 * @param retryAfterSeconds seconds that the caller is to wait before it sends another request (Retry-After); 0 for none
 * @param doNotRetryElsewhere whether another attempt at another instance is useless
 * @param body the result of the run; empty unless served
 */
public record Response(Status status, AdmissionLevel admissionLevel, double retryAfterSeconds,
        boolean doNotRetryElsewhere, byte[] body) {

    private static final byte[] NO_BODY = {};

    /** The response to a request that can't be decided on, by a part that does not know the level. */
    public static final Response INVALID_REQUEST = failed(AdmissionLevel.NONE);

    /** What became of a request. */
    public enum Status {
        /** Its run succeeded. */
        SERVED,
        /** It was not run. */
        REJECTED,
        /** It may have run, and there is no result. */
        FAILED
    }

    /** A response that carries the result of a run. */
    public static Response served(AdmissionLevel level, byte[] result) {
        return new Response(Status.SERVED, level, 0, false, result);
    }

    /** A response to a request that was not run. */
    public static Response rejected(AdmissionLevel level, double retryAfterSeconds, boolean doNotRetryElsewhere) {
        return new Response(Status.REJECTED, level, retryAfterSeconds, doNotRetryElsewhere, NO_BODY);
    }

    /** A response to a request that may have run and has no result. */
    public static Response failed(AdmissionLevel level) {
        return new Response(Status.FAILED, level, 0, false, NO_BODY);
    }
}
