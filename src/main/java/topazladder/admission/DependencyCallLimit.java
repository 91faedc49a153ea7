package topazladder.admission;

import java.util.List;
import topazladder.admission.AdmissionSettings.DependencyTopology;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * Limits the mean number of dependency calls that this server has in flight. The slowdown is the ratio of the time of
 * recent calls to the baseline call time, capped at {@code MAX_SLOWDOWN}; a failed call counts as the cap. While the
 * slowdown is at most {@code MAX_NORMAL_SLOWDOWN}, the target is the usable share of the quota. Above that, the target
 * is
 *
 * <pre>{@code
 * min(usable, max(usable * MIN_SHARE, CALLS_PER_BASELINE_CALL * baselineInFlight / slowdown))
 * usable = quota * USABLE_SHARE_OF_QUOTA
 * }</pre>
 *
 * where baselineInFlight is the mean number of calls in flight without a slowdown. The minimum leaves enough calls to
 * detect that the dependency has recovered. The target is recomputed with every call, as a reduction that lasted
 * longer would leave capacity of the dependency unused.
 *
 * <p>The target is enforced with a token bucket of call-seconds, which calls above the target drain and calls below the
 * target refill. Without a quota, calls are not limited.
 */
final class DependencyCallLimit {
    /** Fraction of the quota in use; the rest is headroom for calls in flight that take longer than expected. */
    private static final double USABLE_SHARE_OF_QUOTA = 0.6;
    /** Initial target, as a fraction of the usable calls in flight, until the first call has ended. */
    private static final double INITIAL_SHARE = 0.25;
    /** Small, so that the mean follows changes quickly. */
    private static final int CALL_TIME_WINDOW_CALLS = 10;
    /**
     * Large, as the baseline is the minimum of this mean: the minimum of a mean of few calls would be an outlier, next
     * to which all later calls would look slow.
     */
    private static final int LONG_CALL_TIME_WINDOW_CALLS = 40;
    private static final int SLOWDOWN_WINDOW_CALLS = 10;
    private static final int BASELINE_WINDOW_CALLS = 40;
    /** Factor by which the baseline call time rises with each call, so that it adapts to a permanent slowdown. */
    private static final double BASELINE_GROWTH_PER_CALL = 1.0005;
    /** Without this cap, a single call that hung would outweigh many normal ones. */
    private static final double MAX_SLOWDOWN = 4;
    /** Call times vary up to this ratio without an overload of the dependency. */
    private static final double MAX_NORMAL_SLOWDOWN = 2;
    /** Headroom over the baseline number of calls in flight, which varies randomly. */
    private static final double CALLS_PER_BASELINE_CALL = 3;
    /** Minimum target, as a fraction of the usable calls in flight. */
    private static final double MIN_SHARE = 0.0625;
    /**
     * Bucket size, as a fraction of the call-seconds that the target allows per quota span. The dependency averages
     * calls over that span, so a burst of a quarter of it stays within the quota.
     */
    private static final double BURST_SHARE_OF_SPAN = 0.25;
    /** Half the bucket size for calls that can be skipped, which reserves the rest for calls that cannot. */
    private static final double SKIPPABLE_BURST_SHARE_OF_SPAN = 0.125;
    /** Bounds the calls in flight during a burst, before their call-seconds have accumulated. */
    private static final double MAX_CALLS_PER_TARGET = 4;
    /** A call that is never answered must time out early enough for a retry. */
    private static final double MAX_TIMEOUT_PER_CALL_TIME = 4;

    private final AdmissionContext context;
    private final ExponentialMean callTime = new ExponentialMean(CALL_TIME_WINDOW_CALLS);
    private final ExponentialMean longCallTime = new ExponentialMean(LONG_CALL_TIME_WINDOW_CALLS);
    /** Baseline call time, in seconds: what a call takes while the dependency is not overloaded. */
    private double baselineCallSeconds = Double.POSITIVE_INFINITY;
    private final ExponentialMean slowdown = new ExponentialMean(SLOWDOWN_WINDOW_CALLS);
    /** Mean number of calls in flight without a slowdown; not updated while the dependency is overloaded. */
    private final ExponentialMean baselineInFlight = new ExponentialMean(BASELINE_WINDOW_CALLS);
    private double targetInFlight;
    /** Call-seconds above the target that the bucket has not regained yet. */
    private double spentCallSeconds;
    private double spentUpdatedAt;

    DependencyCallLimit(AdmissionContext context) {
        this.context = context;
        targetInFlight = usableInFlight() * INITIAL_SHARE;
    }

    private double usableInFlight() {
        AdmissionSettings settings = context.settings();
        double quota = settings.dependencyCallQuota();
        boolean limited = quota > 0 && settings.dependencyTopology() == DependencyTopology.SHARED;
        return limited ? quota * USABLE_SHARE_OF_QUOTA : Double.POSITIVE_INFINITY;
    }

    void callSucceeded(double elapsedSeconds, int inFlight) {
        callTime.add(elapsedSeconds, context.now());
        longCallTime.add(elapsedSeconds, context.now());
        if (longCallTime.isSettled()) {
            baselineCallSeconds =
                    Math.min(longCallTime.value(), baselineCallSeconds * BASELINE_GROWTH_PER_CALL);
        }
        updateTarget(elapsedSeconds / baselineCallSeconds, inFlight);
    }

    /** Counts a failure as a call of the maximum slowdown, as it indicates overload of the dependency too. */
    void callFailed(int inFlight) {
        updateTarget(MAX_SLOWDOWN, inFlight);
    }

    /** Counts a lost connection as a call of the current mean slowdown, as it does not indicate overload. */
    void connectionLost(int inFlight) {
        updateTarget(slowdown.value(), inFlight);
    }

    void callTimedOut(double elapsedSeconds) {
        callTime.add(elapsedSeconds, context.now());
    }

    private void updateTarget(double callSlowdown, int inFlight) {
        slowdown.add(Math.min(MAX_SLOWDOWN, callSlowdown), context.now());
        if (slowdown.value() <= MAX_NORMAL_SLOWDOWN) {
            baselineInFlight.add(inFlight, context.now());
            targetInFlight = usableInFlight();
        } else {
            targetInFlight = Math.min(usableInFlight(), Math.max(usableInFlight() * MIN_SHARE,
                    CALLS_PER_BASELINE_CALL * baselineInFlight.value() / slowdown.value()));
        }
    }

    /** Whether a call may be made now, given the number of calls that the dependency is working on. */
    boolean allowsCall(boolean skippable, int outstandingCalls) {
        if (targetInFlight == Double.POSITIVE_INFINITY) {
            return true;
        }
        spentCallSeconds = Math.max(0,
                spentCallSeconds + (outstandingCalls - targetInFlight) * (context.now() - spentUpdatedAt));
        spentUpdatedAt = context.now();
        double burst = targetInFlight * context.settings().dependencyQuotaSpanSeconds()
                * (skippable ? SKIPPABLE_BURST_SHARE_OF_SPAN : BURST_SHARE_OF_SPAN);
        // While nothing is spent, one call is always allowed. Otherwise the recovery of a slow dependency would never
        // be detected. The second bound limits a burst before its call-seconds have accumulated, so both are needed.
        return spentCallSeconds + Math.min(callTime.value(), burst) <= burst
                && outstandingCalls < Math.max(1, MAX_CALLS_PER_TARGET * targetInFlight);
    }

    /** Mean time of recent calls, in seconds; 0 while unknown. */
    double callSeconds() {
        return callTime.value();
    }

    /** Upper bound of the timeout of a call that may be retried, in seconds; unbounded while call times are unknown. */
    double maxTimeoutOfRetryableCall() {
        return longCallTime.isSettled() ? MAX_TIMEOUT_PER_CALL_TIME * longCallTime.value() : Double.POSITIVE_INFINITY;
    }

    /** Takes a peer's estimate of the calls in flight as the starting value of the baseline. */
    void learn(LearnedEstimate estimate) {
        baselineInFlight.learn(estimate.value(), estimate.weight());
    }

    void collect(List<LearnedEstimate> estimates) {
        baselineInFlight.collect(Kind.CALLS_IN_FLIGHT, "", context.now(), estimates);
    }
}
