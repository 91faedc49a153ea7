package topazladder.admission;

import java.util.List;
import topazladder.admission.AdmissionSettings.DependencyTopology;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * Limits how many dependency calls this server has in flight on average. The slowdown is how many times as long as the
 * quickest calls the recent ones took, at most {@code MAX_SLOWDOWN}; a failed call counts as that. While the slowdown
 * is at most {@code MAX_NORMAL_SLOWDOWN}, the target is the usable share of the quota. Beyond it, the target is
 *
 * <pre>{@code
 * min(usable, max(usable * MIN_SHARE, CALLS_PER_USUAL_CALL * usualInFlight / slowdown))
 * usable = quota * USABLE_SHARE_OF_QUOTA
 * }</pre>
 *
 * with the usual number of calls in flight without a slowdown. The minimum still finds out that the overload of the
 * dependency is over. The target follows at once, as a cut that stayed would waste what the dependency can do.
 *
 * <p>The target is enforced as a token bucket of call-seconds: calls in flight beyond the target spend it, calls below
 * it refill it. Without a quota nothing is limited.
 */
final class DependencyCallLimit {
    /** Of the quota: the rest is for calls already made that take longer than expected. */
    private static final double USABLE_SHARE_OF_QUOTA = 0.6;
    /** Of the usable calls in flight, until a call has ended. */
    private static final double INITIAL_SHARE = 0.25;
    /** Calls, few so that the mean follows a change. */
    private static final int CALL_TIME_WINDOW_CALLS = 10;
    /** Calls; the least of a mean of few would be chance, and all later ones would look slow. */
    private static final int LONG_CALL_TIME_WINDOW_CALLS = 40;
    private static final int SLOWDOWN_WINDOW_CALLS = 10;
    private static final int USUAL_WINDOW_CALLS = 40;
    /** Factor by which the quickest time rises with each call, so that a lasting change is taken in. */
    private static final double QUICKEST_DRIFT_PER_CALL = 1.0005;
    /** Ratio of times. Without a cap, one call that hung would outweigh many that did not. */
    private static final double MAX_SLOWDOWN = 4;
    /** Ratio of times up to which calls vary without an overload of the dependency. */
    private static final double MAX_NORMAL_SLOWDOWN = 2;
    /** Calls allowed for each usual one at a slowdown of 1, as their number varies by chance. */
    private static final double CALLS_PER_USUAL_CALL = 3;
    /** Of the usable calls in flight. */
    private static final double MIN_SHARE = 0.0625;
    /** The dependency averages the calls over the span of the quota, so spending a quarter of it ahead stays clear. */
    private static final double BURST_SHARE_OF_SPAN = 0.25;
    /** Half as much for calls that can be skipped, so that those that can't find room. */
    private static final double SKIPPABLE_BURST_SHARE_OF_SPAN = 0.125;
    /** Bounds the calls in flight in a burst, before call-seconds have added up. */
    private static final double MAX_CALLS_PER_TARGET = 4;
    /** A call that never comes back must leave time for a retry. */
    private static final double MAX_TIMEOUT_PER_CALL_TIME = 4;

    private final AdmissionContext context;
    private final ExponentialMean callTime = new ExponentialMean(CALL_TIME_WINDOW_CALLS);
    private final ExponentialMean longCallTime = new ExponentialMean(LONG_CALL_TIME_WINDOW_CALLS);
    /** Seconds that a call takes while the dependency is not overloaded. */
    private double quickestSeconds = Double.POSITIVE_INFINITY;
    private final ExponentialMean slowdown = new ExponentialMean(SLOWDOWN_WINDOW_CALLS);
    /** Calls in flight without a slowdown; not learned while the dependency is overloaded. */
    private final ExponentialMean usualInFlight = new ExponentialMean(USUAL_WINDOW_CALLS);
    private double targetInFlight;
    /** Call-seconds beyond the target. */
    private double spentCallSeconds;
    private double spentAt;

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

    void callSucceeded(double seconds, int inFlight) {
        callTime.add(seconds, context.now());
        longCallTime.add(seconds, context.now());
        if (longCallTime.isSettled()) {
            quickestSeconds = Math.min(longCallTime.value(), quickestSeconds * QUICKEST_DRIFT_PER_CALL);
        }
        follow(seconds / quickestSeconds, inFlight);
    }

    /** A failure is a sign of overload of the dependency, as the slowest call is. */
    void callFailed(int inFlight) {
        follow(MAX_SLOWDOWN, inFlight);
    }

    /** A lost connection is no sign of overload. */
    void connectionLost(int inFlight) {
        follow(slowdown.value(), inFlight);
    }

    void callTimedOut(double seconds) {
        callTime.add(seconds, context.now());
    }

    private void follow(double callSlowdown, int inFlight) {
        slowdown.add(Math.min(MAX_SLOWDOWN, callSlowdown), context.now());
        if (slowdown.value() <= MAX_NORMAL_SLOWDOWN) {
            usualInFlight.add(inFlight, context.now());
            targetInFlight = usableInFlight();
        } else {
            targetInFlight = Math.min(usableInFlight(), Math.max(usableInFlight() * MIN_SHARE,
                    CALLS_PER_USUAL_CALL * usualInFlight.value() / slowdown.value()));
        }
    }

    /** Whether a call may be made now, given the calls that the dependency is at work on. */
    boolean allowsCall(boolean skippable, int atDependency) {
        if (targetInFlight == Double.POSITIVE_INFINITY) {
            return true;
        }
        spentCallSeconds = Math.max(0, spentCallSeconds + (atDependency - targetInFlight) * (context.now() - spentAt));
        spentAt = context.now();
        double burst = targetInFlight * context.settings().dependencyQuotaSpanSeconds()
                * (skippable ? SKIPPABLE_BURST_SHARE_OF_SPAN : BURST_SHARE_OF_SPAN);
        // With nothing spent one call is made, or what was slow would never be known to have recovered.
        // The second bound acts in a burst, before call-seconds have added up: both are needed.
        return spentCallSeconds + Math.min(callTime.value(), burst) <= burst
                && atDependency < Math.max(1, MAX_CALLS_PER_TARGET * targetInFlight);
    }

    /** Seconds that a call takes lately; 0 as long as that is not known. */
    double callSeconds() {
        return callTime.value();
    }

    /**
     * The longest timeout, in seconds, of a call that may be retried; unbounded as long as call times are not known.
     */
    double maxTimeoutOfRetryableCall() {
        return longCallTime.isSettled() ? MAX_TIMEOUT_PER_CALL_TIME * longCallTime.value() : Double.POSITIVE_INFINITY;
    }

    /** Takes in what a peer learned of the calls in flight. */
    void learn(LearnedEstimate estimate) {
        usualInFlight.learn(estimate.value(), estimate.weight());
    }

    void collect(List<LearnedEstimate> estimates) {
        usualInFlight.collect(Kind.CALLS_IN_FLIGHT, "", context.now(), estimates);
    }
}
