package topazladder.service;

import topazladder.request.IdempotencyKeys;

/**
 * A request as a caller sent it, its names not yet looked up in the settings.
 *
 * @param requestId names this attempt, within this instance
 * @param requestClass name of the request class
 * @param tenant name of the tenant that sent it, or null where none is named
 * @param arrivedAtUnixSeconds when it came to the machine, in Unix seconds
 * @param retry whether the caller says that it sent the request before
 * @param memoryKilobytes memory it takes while in flight
 * @param rank from 0 to under 1, what callers compare with the posted admission level
 * @param idempotencyKey the same for all attempts of one request, or null where the request class has none; a very long
 *     one is kept as its digest
 * @param body handed to the runtime as it is
 * @param remainingSeconds seconds that its caller still waits, or 0 where the caller does not say
 */
public record IncomingRequest(String requestId, String requestClass, String tenant, double arrivedAtUnixSeconds,
        boolean retry, double memoryKilobytes, double rank, String idempotencyKey, byte[] body,
        double remainingSeconds) {

    /** Keeps a very long idempotency key as its digest. */
    public IncomingRequest {
        idempotencyKey = IdempotencyKeys.shortened(idempotencyKey);
    }

    /** A request whose caller does not say how long it waits. */
    public IncomingRequest(String requestId, String requestClass, String tenant, double arrivedAtUnixSeconds,
            boolean retry, double memoryKilobytes, double rank, String idempotencyKey, byte[] body) {
        this(requestId, requestClass, tenant, arrivedAtUnixSeconds, retry, memoryKilobytes, rank, idempotencyKey, body,
                0);
    }
}
