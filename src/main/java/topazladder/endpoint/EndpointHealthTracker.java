package topazladder.endpoint;

/**
 * Judges one endpoint's health by one instance's calls. Calls and failures are counted with exponential decay, so the
 * state has a fixed size. The thresholds form a hysteresis: an unhealthy endpoint has to do clearly better before it
 * counts as healthy again, so that the verdict does not flap with each call.
 */
final class EndpointHealthTracker {
    private static final double HALF_LIFE_SECONDS = 2;
    /** Fewer decayed calls than this do not change the verdict. */
    private static final double MIN_CALLS = 3;
    private static final double ILL_FAILURE_RATE = 0.5;
    private static final double WELL_FAILURE_RATE = 0.2;
    /** After this many successes in a row an unhealthy endpoint counts as healthy. */
    private static final int RECOVERY_STREAK = 8;

    private int successStreak;
    private double tried;
    private double failed;
    private double decayedAt = Double.NaN;
    private EndpointHealth look = EndpointHealth.UNTRIED;

    void add(double now, CallOutcome outcome) {
        decay(now);
        tried++;
        failed += outcome.isFailure() ? 1 : 0;
        successStreak = outcome.isFailure() ? 0 : successStreak + 1;
        if (successStreak >= RECOVERY_STREAK && look == EndpointHealth.ILL) {
            // The successes say more than the older failures, which would get the endpoint ejected again on its return.
            tried = RECOVERY_STREAK;
            failed = 0;
        }
        judge();
    }

    /** Discards all evidence: failures before an ejection say nothing about the endpoint after it. */
    void reset() {
        tried = 0;
        failed = 0;
        successStreak = 0;
        look = EndpointHealth.UNTRIED;
    }

    private void decay(double now) {
        if (!Double.isNaN(decayedAt) && now > decayedAt) {
            double remaining = StrictMath.pow(0.5, (now - decayedAt) / HALF_LIFE_SECONDS);
            tried *= remaining;
            failed *= remaining;
        }
        decayedAt = Double.isNaN(decayedAt) ? now : Math.max(decayedAt, now);
    }

    private void judge() {
        double failureRate = tried <= 0 ? 0 : failed / tried;
        if (tried < MIN_CALLS) {
            // Without this an endpoint that gets no calls any more would stay unhealthy for ever.
            look = tried < MIN_CALLS / 4 ? EndpointHealth.UNTRIED : look;
        } else {
            look = failureRate >= ILL_FAILURE_RATE ? EndpointHealth.ILL
                    : look != EndpointHealth.ILL || failureRate < WELL_FAILURE_RATE ? EndpointHealth.WELL : look;
        }
    }

    EndpointHealth look(double now) {
        decay(now);
        judge();
        return look;
    }

    EndpointReport report(double now, String endpoint) {
        EndpointHealth current = look(now);
        return new EndpointReport(endpoint, current, tried, failed);
    }
}
