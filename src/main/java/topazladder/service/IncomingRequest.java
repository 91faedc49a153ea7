package topazladder.service;

/**
 * A request as a caller sent it, its names not yet looked up in the terms.
 *
 * @param ref names this try, at the door only
 * @param since when it came to the machine, in Unix seconds
 * @param tenant who sent it, or null where none is named
 * @param footprint kilobytes it takes while held
 * @param fingerprint the same for all tries of one request, or null where the request class has none
 * @param patience seconds that its caller still waits, or 0 where nobody told
 */
public record IncomingRequest(String ref, String requestClass, String tenant, double since, boolean retry,
        double footprint, double rank, String fingerprint, byte[] body, double patience) {

    public IncomingRequest(String ref, String requestClass, String tenant, double since, boolean retry,
            double footprint,
            double rank, String fingerprint, byte[] body) {
        this(ref, requestClass, tenant, since, retry, footprint, rank, fingerprint, body, 0);
    }
}
