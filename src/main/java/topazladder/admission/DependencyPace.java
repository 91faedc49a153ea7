package topazladder.admission;

import java.util.List;
import topazladder.admission.AdmissionSettings.DependencyTopology;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;

/**
 * How many dependency calls this server means to have in flight on average. The strain is how many times as long as the
 * quickest the recent calls took, at most four; a failed call counts as four. While the strain is at most two, the pace
 * is the most that the quota allows. Under strain it is
 *
 * <pre>{@code max(most / 16, 3 * usual / strain)}</pre>
 *
 * with the usual number of calls in flight without strain: three times the usual leaves room for chance, and a
 * sixteenth still finds out that a crowd at the dependency is over. The pace follows at once, as a cut that stayed
 * would waste what the dependency can do.
 *
 * <p>The pace is enforced as a token bucket of call-seconds: calls in flight beyond the pace spend it, calls below it
 * refill it. Without a quota nothing is limited.
 */
final class DependencyPace {
    /** Of the quota: the rest is for calls already made that take longer than expected. */
    private static final double USABLE_SHARE_OF_QUOTA = 0.6;
    private static final double INITIAL_SHARE = 0.25;
    private static final int CALL_TIME_WINDOW_CALLS = 10;
    /** Steadier: the least of a mean of few calls would be luck, and all after it look slow. */
    private static final int LONG_CALL_TIME_WINDOW_CALLS = 40;
    private static final int STRAIN_WINDOW_CALLS = 10;
    private static final int USUAL_WINDOW_CALLS = 40;
    /** The quickest time drifts up, so that a lasting change is believed. */
    private static final double QUICKEST_DRIFT_PER_CALL = 1.0005;
    /** Uncapped, one call that hung would count for thirty. */
    private static final double MAX_STRAIN = 4;
    private static final double STRAINED = 2;
    private static final double USUAL_FACTOR = 3;
    private static final double MIN_SHARE = 0.0625;
    /** The dependency averages the calls over the span of the quota, so spending a quarter of it ahead stays clear. */
    private static final double BURST_SHARE_OF_SPAN = 0.25;
    /** Half as much for calls that can be skipped, so that those that can't find room. */
    private static final double SKIPPABLE_BURST_SHARE_OF_SPAN = 0.125;
    private static final double MAX_CALLS_PER_PACE = 4;
    /** A call that never comes back must leave time for a retry. */
    private static final double MAX_TIMEOUT_PER_CALL_TIME = 4;

    private final AdmissionContext context;
    private final ExponentialMean callTime = new ExponentialMean(CALL_TIME_WINDOW_CALLS);
    private final ExponentialMean longCallTime = new ExponentialMean(LONG_CALL_TIME_WINDOW_CALLS);
    /** What a call takes when nothing crowds it. */
    private double quickestSeconds = Double.POSITIVE_INFINITY;
    private final ExponentialMean strain = new ExponentialMean(STRAIN_WINDOW_CALLS);
    /** Calls in flight without strain: a crowd must not teach it. */
    private final ExponentialMean usualInFlight = new ExponentialMean(USUAL_WINDOW_CALLS);
    private double pace;
    /** Call-seconds beyond the pace. */
    private double spentCallSeconds;
    private double spentAt;

    DependencyPace(AdmissionContext context) {
        this.context = context;
        pace = mostInFlight() * INITIAL_SHARE;
    }

    private double mostInFlight() {
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

    /** A failure tells of a crowd at the dependency as the longest call does. */
    void callFailed(int inFlight) {
        follow(MAX_STRAIN, inFlight);
    }

    /** A lost connection tells of no crowd. */
    void connectionLost(int inFlight) {
        follow(strain.value(), inFlight);
    }

    void callTimedOut(double seconds) {
        callTime.add(seconds, context.now());
    }

    private void follow(double timesQuickest, int inFlight) {
        strain.add(Math.min(MAX_STRAIN, timesQuickest), context.now());
        if (strain.value() <= STRAINED) {
            usualInFlight.add(inFlight, context.now());
            pace = mostInFlight();
        } else {
            pace = Math.min(mostInFlight(), Math.max(mostInFlight() * MIN_SHARE,
                    USUAL_FACTOR * usualInFlight.value() / strain.value()));
        }
    }

    /** Whether a call may be made now, given the calls that the dependency has in hand. */
    boolean allowsCall(boolean skippable, int atDependency) {
        if (pace == Double.POSITIVE_INFINITY) {
            return true;
        }
        spentCallSeconds = Math.max(0, spentCallSeconds + (atDependency - pace) * (context.now() - spentAt));
        spentAt = context.now();
        double burst = pace * context.settings().dependencyQuotaSpanSeconds()
                * (skippable ? SKIPPABLE_BURST_SHARE_OF_SPAN : BURST_SHARE_OF_SPAN);
        // With nothing spent one call is made, or what was slow would never be known to have recovered.
        // The second bound acts in a burst, before call-seconds have added up: both are needed.
        return spentCallSeconds + Math.min(callTime.value(), burst) <= burst
                && atDependency < Math.max(1, MAX_CALLS_PER_PACE * pace);
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
