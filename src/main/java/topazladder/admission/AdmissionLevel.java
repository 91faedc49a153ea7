package topazladder.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import topazladder.admission.AdmissionSettings.AdmissionLevelUnit;
import topazladder.request.Decision;

/**
 * Backpressure by a posted price, after "Using Proof-of-Work to Manage Backpressure" (2021). The paper's work factor is
 *
 * <pre>{@code log2((capacity / outgoing) * (len(B) / K))}</pre>
 *
 * with the capacity as requests admitted a second times two to the steps now posted, the outgoing as requests completed
 * a second, len(B) as requests that are queued or lie unread, and K as the length that the queue should have. The
 * rounded factor is the number of steps that the level should stand at; it moves by one step an update. Each step up
 * sets the cut to the median rank of those read at or above it, so that it halves what is admitted; a step down
 * restores the cut before. A request ranked under the cut is rejected.
 *
 * <p>The median counts rejected requests too, and old requests fade. While cores idle, nothing is completed, or the
 * queue is short, the level falls to 0 at once: idle cores are worse than a jump.
 */
final class AdmissionLevel implements Stage {
    /** Callers heed a level for a limited time: with so many updates within it, one that is out of date is rare. */
    private static final double UPDATES_PER_VALIDITY = 4;
    /** Seconds from the start in which the level stays at 0, as the rates are not known yet. */
    private static final double START_SECONDS = 1;
    private static final int NO_LEVEL = -1;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final RequestQueue queue;
    private final ConcurrencyLimiter cores;
    private final RequestEndings endings;
    private final Stage next;
    private final RankHistogram ranks = new RankHistogram();
    private final DecayingRate admitted;
    /** The cuts of the steps below the one now posted; as many as steps are posted. */
    private final Deque<Double> lowerCuts = new ArrayDeque<>();
    private double cut;
    private double nextUpdateAt = START_SECONDS;

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
            endings.giveUp(request);
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
        if (workFactor > lowerCuts.size()) {
            double median = ranks.medianFrom(cut);
            if (median > cut) {
                lowerCuts.push(cut);
                cut = median;
            }
        } else if (workFactor == NO_LEVEL) {
            lowerCuts.clear();
            cut = 0;
        } else if (workFactor < lowerCuts.size()) {
            cut = lowerCuts.pop();
        }
    }

    /** The steps that the level should stand at, or {@link #NO_LEVEL}. */
    private int workFactor() {
        double outgoing = statistics.completionRate();
        double target = statistics.queueTarget();
        // Where reading is the bottleneck, the queue stands before it.
        double waiting = queue.size() + statistics.unreadRequests();
        if (outgoing <= 0 || cores.isIdle() || waiting <= target) {
            return NO_LEVEL;
        }
        double capacity = admitted.perSecond(context.now()) * Math.pow(2, lowerCuts.size());
        double factor = Math.log(capacity / outgoing * (waiting / target)) / Math.log(2);
        return (int) Math.max(0, Math.round(factor));
    }
}
