package topazladder.lease;

/** One lease at its holder, under one fencing token. Owned by {@link HeldLeases}; times are by the holder's clock. */
final class HeldLease {
    /** Part of the duration before the end at which the work is told to stop, so that it has ended by then. */
    private static final double STOP_BEFORE_END = 0.15;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** How far the work under the lease is; the names are printed to operators. */
    enum Phase {
        /** The work goes on. */
        HOLDING,
        /** The work was told to stop, and may still have effects until the lease runs out. */
        STOPPING,
        /** No effect is allowed any more; reported to the leader until the group has recorded it. */
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

    /** Why the work could not be done; null where it was stopped in order, or goes on. */
    String failure() {
        return failure;
    }

    boolean isHolding() {
        return phase == Phase.HOLDING;
    }

    boolean isStopped() {
        return phase == Phase.STOPPED;
    }

    /** Whether an effect may be made now. */
    boolean allowsEffects(double now) {
        return phase != Phase.STOPPED && now < expiresAt;
    }

    double remainingSeconds(double now) {
        return Math.max(0, expiresAt - now);
    }

    void renew(double until) {
        expiresAt = Math.max(expiresAt, until);
    }

    void stopping() {
        phase = Phase.STOPPING;
    }

    void stopped(String failureOrNull) {
        phase = Phase.STOPPED;
        failure = failureOrNull;
    }

    /** Whether the work must stop now to have ended before the lease runs out. */
    boolean mustStop(double now) {
        return phase == Phase.HOLDING && expiresAt - now < STOP_BEFORE_END * durationSeconds;
    }

    /** Whether the lease ran out before the work had reported its end. */
    boolean isOverdue(double now) {
        return phase == Phase.STOPPING && now >= expiresAt;
    }

    /** When the next of {@link #mustStop} and {@link #isOverdue} comes true; never, once stopped. */
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
