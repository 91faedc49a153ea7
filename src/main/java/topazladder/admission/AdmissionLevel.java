package topazladder.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import topazladder.admission.AdmissionSettings.AdmissionLevelUnit;
import topazladder.request.Decision;
import topazladder.request.GiveUpReason;

/**
 * Rejects requests of low rank under overload, following "Using Proof-of-Work to Manage Backpressure" (2021). The level
 * is a number of steps, and each step has a rank cut, the lowest rank that is admitted. The paper's work factor is
 *
 * <pre>{@code log2((capacity / completionRate) * (waiting / queueTarget))}</pre>
 *
 * where capacity is the rate of admitted requests times two to the power of the level, completionRate ("outgoing" in
 * the paper) is the rate of completed requests, waiting ("len(B)") is the number of queued and unread requests, and
 * queueTarget ("K") is the target length of the queue. The rounded work factor is the target level, towards which the
 * level moves by one step per update. A step up raises the cut to the median rank of the requests read at or above the
 * old cut, which halves the admitted requests; a step down restores the previous cut. Requests ranked below the cut are
 * rejected.
 *
 * <p>The median includes rejected requests, and older requests count less. While cores are idle, no request completes
 * or the queue is short, the level drops to 0 at once, as idle cores are worse than a sudden change of the level.
 */
final class AdmissionLevel implements Stage {
    /** Callers apply a posted level for a limited time; four updates within it rarely leave them with a stale level. */
    private static final double UPDATES_PER_VALIDITY = 4;
    /** Target level that resets the level to 0 at once instead of stepwise. */
    private static final int NO_LEVEL = -1;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final RequestQueue queue;
    private final ConcurrencyLimiter concurrencyLimiter;
    private final RequestTerminator terminator;
    private final Stage next;
    private final RankHistogram ranks = new RankHistogram();
    private final DecayingRate admitted;
    /** Cuts to be restored by steps down, most recent first; their number is the current level. */
    private final Deque<Double> previousCuts = new ArrayDeque<>();
    private double cut;
    private double nextUpdateAt = AdmissionContext.STARTUP_SECONDS;

    AdmissionLevel(AdmissionContext context, WorkloadStatistics statistics, RequestQueue queue,
            ConcurrencyLimiter concurrencyLimiter, RequestTerminator terminator, Stage next) {
        this.context = context;
        this.statistics = statistics;
        this.queue = queue;
        this.concurrencyLimiter = concurrencyLimiter;
        this.terminator = terminator;
        this.next = next;
        admitted = new DecayingRate(context.shortestObjectiveSeconds(), context.now());
    }

    @Override
    public void admit(TrackedRequest request) {
        ranks.add(request.request.rank());
        if (request.request.rank() < cut) {
            terminator.giveUp(request, GiveUpReason.BELOW_ADMISSION_LEVEL);
        } else {
            admitted.add(1, context.now());
            next.admit(request);
        }
    }

    void tick() {
        if (context.now() < nextUpdateAt) {
            return;
        }
        double updateSeconds = context.settings().admissionLevelValiditySeconds() / UPDATES_PER_VALIDITY;
        nextUpdateAt = context.now() + updateSeconds;
        double before = cut;
        moveTowards(workFactor());
        ranks.decay(StrictMath.exp(-updateSeconds / context.shortestObjectiveSeconds()));
        if (cut != before && context.settings().admissionLevelUnit() == AdmissionLevelUnit.MIN_RANK) {
            context.emit(new Decision.PostAdmissionLevel(cut));
        }
    }

    private void moveTowards(int workFactor) {
        if (workFactor > previousCuts.size()) {
            double median = ranks.medianFrom(cut);
            if (median > cut) {
                previousCuts.push(cut);
                cut = median;
            }
        } else if (workFactor == NO_LEVEL) {
            previousCuts.clear();
            cut = 0;
        } else if (workFactor < previousCuts.size()) {
            cut = previousCuts.pop();
        }
    }

    /** The target level, or {@link #NO_LEVEL}. */
    private int workFactor() {
        double completionRate = statistics.completionRate();
        double queueTarget = statistics.queueTarget();
        // If reading requests is the bottleneck, they pile up unread rather than in the queue.
        double waiting = queue.size() + statistics.unreadRequests();
        if (completionRate <= 0 || concurrencyLimiter.isIdle() || waiting <= queueTarget) {
            return NO_LEVEL;
        }
        double capacity = admitted.perSecond(context.now()) * StrictMath.pow(2, previousCuts.size());
        double factor = StrictMath.log(capacity / completionRate * (waiting / queueTarget)) / StrictMath.log(2);
        return (int) Math.max(0, Math.round(factor));
    }
}
