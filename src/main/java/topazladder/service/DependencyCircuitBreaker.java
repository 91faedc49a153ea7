package topazladder.service;

import java.util.random.RandomGenerator;

/**
 * A circuit breaker over connections to the dependency, which goes by this instance's own attempts and by what the
 * lease holder that probes the dependency for all instances reports.
 *
 * <pre>
 * CLOSED     --5 connections refused in a row--------------->  OPEN
 * OPEN       --the prober reached the dependency------------>  RECOVERING
 * OPEN, RECOVERING --a connection of this instance succeeded-> CLOSED
 * RECOVERING --a random delay of up to a second has passed-->  CLOSED
 * RECOVERING --the prober could not reach the dependency---->  OPEN
 * </pre>
 *
 * <p>While the breaker is open only the prober tries, and all instances come back spread over a second rather than at
 * once. A report never keeps an instance from trying for good: without one for five seconds it tries once a second by
 * itself. Times are in seconds of one clock that never runs backwards.
 */
public final class DependencyCircuitBreaker {
    private static final int REFUSALS_UNTIL_OPEN = 5;
    /** Without a report for so long, this instance tries by itself. */
    private static final double REPORT_TIMEOUT_SECONDS = 5;
    private static final double OWN_ATTEMPT_INTERVAL_SECONDS = 1;
    private static final double RECOVERY_SPREAD_SECONDS = 1;
    /** An older report says nothing. */
    private static final double MAX_REPORT_AGE_SECONDS = 10;

    /** Whether calls are made. */
    public enum State {
        /** They are. */
        CLOSED,
        /** They are not, but for the rare attempt where no reports come. */
        OPEN,
        /** They are from a moment on that was drawn at random. */
        RECOVERING
    }

    private final RandomGenerator random;
    private State state = State.CLOSED;
    private int consecutiveRefusals;
    private double lastReportAt = Double.NEGATIVE_INFINITY;
    private double recoversAt;
    private double lastOwnAttemptAt = Double.NEGATIVE_INFINITY;
    private long highestFencingToken;

    /** A closed breaker that draws its recovery delays from this generator. */
    public DependencyCircuitBreaker(RandomGenerator random) {
        this.random = random;
    }

    public State state() {
        return state;
    }

    /** Whether to make a call now; where not, the call ends as one that could not be made. */
    public boolean isCallPermitted(double now) {
        if (state == State.RECOVERING && now >= recoversAt) {
            state = State.CLOSED;
            consecutiveRefusals = 0;
        }
        if (state == State.OPEN && now - lastReportAt > REPORT_TIMEOUT_SECONDS
                && now - lastOwnAttemptAt >= OWN_ATTEMPT_INTERVAL_SECONDS) {
            lastOwnAttemptAt = now;
            return true;
        }
        return state == State.CLOSED;
    }

    /** A connection of this instance succeeded. */
    public void onSuccess() {
        consecutiveRefusals = 0;
        state = State.CLOSED;
    }

    /** A connection of this instance was refused. */
    public void onConnectionRefused(double now) {
        consecutiveRefusals++;
        if (consecutiveRefusals >= REFUSALS_UNTIL_OPEN && state == State.CLOSED) {
            state = State.OPEN;
            lastOwnAttemptAt = now;
            // From here on the prober's report is waited for, for a while.
            lastReportAt = Math.max(lastReportAt, now);
        }
    }

    /**
     * What the prober found.
     *
     * @param reachable whether the dependency accepted its connection
     * @param ageSeconds since it looked
     * @param fencingToken of the prober's lease: a report of an earlier holder says nothing against a later one's
     */
    public void onProbeResult(double now, boolean reachable, double ageSeconds, long fencingToken) {
        if (ageSeconds > MAX_REPORT_AGE_SECONDS || fencingToken < highestFencingToken) {
            return;
        }
        highestFencingToken = fencingToken;
        lastReportAt = Math.max(lastReportAt, now - ageSeconds);
        if (reachable && state == State.OPEN) {
            state = State.RECOVERING;
            recoversAt = now + random.nextDouble(RECOVERY_SPREAD_SECONDS);
        } else if (!reachable && state == State.RECOVERING) {
            state = State.OPEN;
        }
    }
}
