package topazladder.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import topazladder.admission.AdmissionSettings.AdmissionLevelUnit;
import topazladder.request.Decision;
import topazladder.request.GiveUpReason;

/**
 * Rejects requests of low rank under load, after "Using Proof-of-Work to Manage Backpressure" (2021). The level counts
 * steps, and each step has a cut, the lowest rank that is admitted. The paper's work factor is
 *
 * <pre>{@code log2((capacity / completionRate) * (waiting / queueTarget))}</pre>
 *
 * with the capacity as requests admitted a second times two to the power of the level, completionRate (the paper's
 * outgoing) as requests completed a second, waiting (len(B)) as requests that are queued or lie unread, and queueTarget
 * (K) as the length that the queue should have. The rounded factor is the level that there should be; the level moves
 * by one step an update. Each step up sets the cut to the median rank of those read at or above it, so that it halves
 * what is admitted; a step down restores the cut before. A request ranked under the cut is rejected.
 *
 * <p>The median counts rejected requests too, and old requests fade. While cores idle, nothing is completed, or the
 * queue is short, the level falls to 0 at once: idle cores are worse than a jump.
 */
final class AdmissionLevel implements Stage {
    /** Callers heed a level for a limited time: with so many updates within it, one that is out of date is rare. */
    private static final double UPDATES_PER_VALIDITY = 4;
    private static final int NO_LEVEL = -1;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final RequestQueue queue;
    private final ConcurrencyLimiter cores;
    private final RequestEndings endings;
    private final Stage next;
    private final RankHistogram ranks = new RankHistogram();
    private final DecayingRate admitted;
    /** The cuts that steps down restore, latest first; their number is the level. */
    private final Deque<Double> previousCuts = new ArrayDeque<>();
    private double cut;
    private double nextUpdateAt = AdmissionContext.START_SECONDS;

    AdmissionLevel(AdmissionContext context, WorkloadStatistics statistics, RequestQueue queue,
            ConcurrencyLimiter cores, RequestEndings endings, Stage next) {
        this.context = context;
        this.statistics = statistics;
        this.queue = queue;
        this.cores = cores;
        this.endings = endings;
        this.next = next;
        admitted = new DecayingRate(context.shortestObjectiveSeconds(), context.now());
    }

    @Override
    public void admit(TrackedRequest request) {
        ranks.add(request.request.rank());
        if (request.request.rank() < cut) {
            endings.giveUp(request, GiveUpReason.BELOW_ADMISSION_LEVEL);
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
        ranks.fade(Math.exp(-updateSeconds / context.shortestObjectiveSeconds()));
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

    /** The steps that the level should stand at, or {@link #NO_LEVEL}. */
    private int workFactor() {
        double completionRate = statistics.completionRate();
        double queueTarget = statistics.queueTarget();
        // Where reading is the bottleneck, the queue stands before it.
        double waiting = queue.size() + statistics.unreadRequests();
        if (completionRate <= 0 || cores.isIdle() || waiting <= queueTarget) {
            return NO_LEVEL;
        }
        double capacity = admitted.perSecond(context.now()) * Math.pow(2, previousCuts.size());
        double factor = Math.log(capacity / completionRate * (waiting / queueTarget)) / Math.log(2);
        return (int) Math.max(0, Math.round(factor));
    }
}
