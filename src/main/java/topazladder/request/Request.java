package topazladder.request;

/** One attempt of a request as it was read from its caller. Immutable, and compared by identity. */
public final class Request {
    private final RequestClass requestClass;
    private final Tenant tenant;
    private final double rank;
    private final double memoryKilobytes;
    private final double queuedSeconds;
    private final double remainingSeconds;
    private final boolean retry;
    private final boolean duplicate;
    private final Request original;

    /**
     * Creates a request.
     *
     * @param requestClass its class, never null
     * @param tenant the tenant that sent it, or null in a deployment without tenants
     * @param rank at least 0 and below 1; callers compare it with the posted admission level
     * @param memoryKilobytes kilobytes of memory that it occupies while queued
     * @param queuedSeconds seconds between its arrival at the machine and its being read
     * @param remainingSeconds seconds for which its caller still waits for this attempt, or 0 if unknown
     * @param retry whether it is marked as a retry or a hedged request
     * @param duplicate whether its idempotency key is already stored for an earlier request
     * @param original that earlier request while it is in flight, else null
     */
    public Request(RequestClass requestClass, Tenant tenant, double rank, double memoryKilobytes, double queuedSeconds,
            double remainingSeconds, boolean retry, boolean duplicate, Request original) {
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.rank = rank;
        this.memoryKilobytes = memoryKilobytes;
        this.queuedSeconds = queuedSeconds;
        this.remainingSeconds = remainingSeconds;
        this.retry = retry;
        this.duplicate = duplicate;
        this.original = original;
    }

    /** Its class, never null. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** The tenant that sent it, or null in a deployment without tenants. */
    public Tenant tenant() {
        return tenant;
    }

    /** At least 0 and below 1; callers compare it with the posted admission level. */
    public double rank() {
        return rank;
    }

    /** Kilobytes of memory that it occupies while queued. */
    public double memoryKilobytes() {
        return memoryKilobytes;
    }

    /** Seconds between its arrival at the machine and its being read. */
    public double queuedSeconds() {
        return queuedSeconds;
    }

    /** Seconds for which its caller still waits for this attempt, or 0 if unknown. */
    public double remainingSeconds() {
        return remainingSeconds;
    }

    /** Whether it is marked as a retry or a hedged request. */
    public boolean retry() {
        return retry;
    }

    /** Whether its idempotency key is already stored for an earlier request. */
    public boolean duplicate() {
        return duplicate;
    }

    /** The request that it duplicates while that one is in flight, else null. */
    public Request original() {
        return original;
    }
}
