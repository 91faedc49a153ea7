package topazladder.admission;

import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.GiveUpReason;

/**
 * Queues requests for a core for as long as that pays: one that could not end while its answer earns anything is given
 * up at once. The wait is estimated as the requests ahead of it over the requests started a second.
 *
 * <p>While nothing runs, a request is started however long runs took lately: else a server that was slow for a while
 * would never learn that it is not.
 */
final class AdmissionQueue implements Stage {
    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final DrainSchedule drain;
    private final RequestQueue queue;
    private final ConcurrencyLimiter cores;
    private final RequestEndings endings;

    AdmissionQueue(AdmissionContext context, WorkloadStatistics statistics, DrainSchedule drain, RequestQueue queue,
            ConcurrencyLimiter cores, RequestEndings endings) {
        this.context = context;
        this.statistics = statistics;
        this.drain = drain;
        this.queue = queue;
        this.cores = cores;
        this.endings = endings;
    }

    @Override
    public void admit(TrackedRequest request) {
        queue.add(request);
        // What lay unread until its answer has no value is not run even on idle cores: it would only be stopped again.
        if (context.now() >= request.usefulUntil
                || cores.running() > 0 && statistics.endsTooLate(request, expectedWaitSeconds(request))) {
            endings.giveUp(request, GiveUpReason.NO_TIME_LEFT_IN_QUEUE);
        } else {
            startWhatHasRoom();
        }
    }

    private double expectedWaitSeconds(TrackedRequest request) {
        if (cores.hasRoomFor(request)) {
            return 0;
        }
        double startRate = statistics.startRate();
        return startRate <= 0 ? 0 : queue.countAheadOf(request) / startRate;
    }

    void startWhatHasRoom() {
        while (!queue.isEmpty()) {
            TrackedRequest first = queue.first();
            if (!cores.hasRoomFor(first)) {
                return;
            }
            queue.remove(first);
            cores.admit(first);
        }
    }

    void onClosing(TrackedRequest request) {
        queue.remove(request);
    }

    void tick() {
        for (TrackedRequest request : queue.snapshot()) {
            if (request.phase != Phase.QUEUED) {
                continue;
            }
            if (drain.isTooLate(request)) {
                endings.giveUp(request, GiveUpReason.DRAINING);
            } else if (cores.running() > 0 && statistics.endsTooLate(request, 0)) {
                endings.giveUp(request, GiveUpReason.NO_TIME_LEFT_IN_QUEUE);
            }
        }
        queue.tick();
        startWhatHasRoom();
    }
}
