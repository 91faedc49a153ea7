package topazladder.request;

/** One request as it was read. It never changes, and equals itself alone. */
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
     * A request.
     *
     * @param tenant who sent it, or null where a deployment has no tenants
     * @param rank from 0 to under 1, what callers compare with the posted admission level
     * @param memoryKilobytes kilobytes that it takes while queued
     * @param queuedSeconds seconds between its arrival at the machine and its reading
     * @param remainingSeconds seconds for which its caller still waits for this attempt, or 0 where that is not told
     * @param retry whether it is marked as a retry or a hedged request
     * @param duplicate whether its idempotency key is remembered from an earlier request
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

    /** Its class, which never is null. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Who sent it, or null where a deployment has no tenants. */
    public Tenant tenant() {
        return tenant;
    }

    /** From 0 to under 1, what callers compare with the posted admission level. */
    public double rank() {
        return rank;
    }

    /** Kilobytes that it takes while queued. */
    public double memoryKilobytes() {
        return memoryKilobytes;
    }

    /** Seconds between its arrival at the machine and its reading. */
    public double queuedSeconds() {
        return queuedSeconds;
    }

    /** Seconds for which its caller still waits for this attempt, or 0 where that is not told. */
    public double remainingSeconds() {
        return remainingSeconds;
    }

    /** Whether it is marked as a retry or a hedged request. */
    public boolean retry() {
        return retry;
    }

    /** Whether its idempotency key is remembered from an earlier request. */
    public boolean duplicate() {
        return duplicate;
    }

    /** The request that it repeats while that is in flight, else null. */
    public Request original() {
        return original;
    }
}
