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
     * @param tenant who sent it, or null where a deployment has no tenants
     * @param rank 0 to under 1, what callers compare with the posted level
     * @param memoryKilobytes kilobytes it takes while held
     * @param queuedSeconds seconds between its arrival at the machine and its reading
     * @param remainingSeconds seconds its caller still waits for this try, or 0 where that is not told
     * @param retry whether it is marked as a further try or a second copy
     * @param duplicate whether a forerunner with the same fingerprint is remembered
     * @param original the one it repeats while that is still in hand, else null
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

    public RequestClass requestClass() {
        return requestClass;
    }

    public Tenant tenant() {
        return tenant;
    }

    public double rank() {
        return rank;
    }

    public double memoryKilobytes() {
        return memoryKilobytes;
    }

    public double queuedSeconds() {
        return queuedSeconds;
    }

    public double remainingSeconds() {
        return remainingSeconds;
    }

    public boolean retry() {
        return retry;
    }

    public boolean duplicate() {
        return duplicate;
    }

    public Request original() {
        return original;
    }
}
