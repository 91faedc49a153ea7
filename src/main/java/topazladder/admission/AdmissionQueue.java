package topazladder.admission;

import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.GiveUpReason;

/**
 * Queues requests until a core is free. A request that could not finish while its answer still has a value is given up
 * at once. Its expected wait is the number of requests ahead of it divided by the rate at which requests are started.
 *
 * <p>While nothing runs, a request is started whatever the recent run times. Otherwise a server that was slow for a
 * while would reject everything and never measure that it has recovered.
 */
final class AdmissionQueue implements Stage {
    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final DrainSchedule drain;
    private final RequestQueue queue;
    private final ConcurrencyLimiter concurrencyLimiter;
    private final RequestTerminator terminator;

    AdmissionQueue(AdmissionContext context, WorkloadStatistics statistics, DrainSchedule drain, RequestQueue queue,
            ConcurrencyLimiter concurrencyLimiter, RequestTerminator terminator) {
        this.context = context;
        this.statistics = statistics;
        this.drain = drain;
        this.queue = queue;
        this.concurrencyLimiter = concurrencyLimiter;
        this.terminator = terminator;
    }

    @Override
    public void admit(TrackedRequest request) {
        queue.add(request);
        // A request that stayed unread until its answer lost its value is not started even on idle cores, as it would
        // be cancelled at once.
        if (context.now() >= request.usefulUntil
                || concurrencyLimiter.running() > 0 && statistics.endsTooLate(request, expectedWaitSeconds(request))) {
            terminator.giveUp(request, GiveUpReason.NO_TIME_LEFT_IN_QUEUE);
        } else {
            startRequestsThatFit();
        }
    }

    private double expectedWaitSeconds(TrackedRequest request) {
        if (concurrencyLimiter.canStart(request)) {
            return 0;
        }
        double startRate = statistics.startRate();
        return startRate <= 0 ? 0 : queue.countAheadOf(request) / startRate;
    }

    void startRequestsThatFit() {
        while (!queue.isEmpty()) {
            TrackedRequest first = queue.first();
            if (!concurrencyLimiter.canStart(first)) {
                return;
            }
            queue.remove(first);
            concurrencyLimiter.admit(first);
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
                terminator.giveUp(request, GiveUpReason.DRAINING);
            } else if (concurrencyLimiter.running() > 0 && statistics.endsTooLate(request, 0)) {
                terminator.giveUp(request, GiveUpReason.NO_TIME_LEFT_IN_QUEUE);
            }
        }
        queue.tick();
        startRequestsThatFit();
    }
}
