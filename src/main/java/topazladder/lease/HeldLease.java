package topazladder.lease;

/**
 * A lease as its holder sees it, under one fencing token. Owned by {@link HeldLeases}; all times are seconds of the
 * holder's clock.
 */
final class HeldLease {
    /** Fraction of the lease duration left when the task is told to stop, so that it can finish before expiry. */
    private static final double STOP_BEFORE_END = 0.15;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** The state of the task that runs under the lease. The constant names are printed to operators. */
    enum Phase {
        /** The task runs. */
        HOLDING,
        /** The task was told to stop; its effects are still allowed until the lease expires. */
        STOPPING,
        /** No effect is allowed any more. Reported to the leader until the consensus group has recorded it. */
        STOPPED
    }

    private final long fencingToken;
    private final double durationSeconds;
    private double expiresAt;
    private Phase phase = Phase.HOLDING;
    private String failure;

    HeldLease(long fencingToken, double durationSeconds, double expiresAt) {
        this.fencingToken = fencingToken;
        this.durationSeconds = durationSeconds;
        this.expiresAt = expiresAt;
    }

    long fencingToken() {
        return fencingToken;
    }

    double durationSeconds() {
        return durationSeconds;
    }

    /** Why the task failed; null if it stopped normally or has not stopped yet. */
    String failure() {
        return failure;
    }

    boolean isHolding() {
        return phase == Phase.HOLDING;
    }

    boolean isStopped() {
        return phase == Phase.STOPPED;
    }

    /** Whether the task may have an effect now. */
    boolean allowsEffects(double now) {
        return phase != Phase.STOPPED && now < expiresAt;
    }

    double remainingSeconds(double now) {
        return Math.max(0, expiresAt - now);
    }

    void renew(double newExpiresAt) {
        expiresAt = Math.max(expiresAt, newExpiresAt);
    }

    void markStopping() {
        phase = Phase.STOPPING;
    }

    void markStopped(String failureOrNull) {
        phase = Phase.STOPPED;
        failure = failureOrNull;
    }

    /** Whether a running task must be told to stop now in order to finish before the lease expires. */
    boolean mustStop(double now) {
        return phase == Phase.HOLDING && expiresAt - now < STOP_BEFORE_END * durationSeconds;
    }

    /** Whether the lease expired before the task reported that it had stopped. */
    boolean isOverdue(double now) {
        return phase == Phase.STOPPING && now >= expiresAt;
    }

    /** When {@link #mustStop} or {@link #isOverdue} next becomes true; infinity once stopped. */
    double nextChangeAt() {
        return switch (phase) {
            case HOLDING -> expiresAt - STOP_BEFORE_END * durationSeconds;
            case STOPPING -> expiresAt;
            case STOPPED -> Double.POSITIVE_INFINITY;
        };
    }

    String describe(double now) {
        return phase + " token=" + fencingToken + " left="
                + Math.round(remainingSeconds(now) * MILLIS_PER_SECOND) / MILLIS_PER_SECOND;
    }
}
