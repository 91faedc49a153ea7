package topazladder.admission;

import topazladder.request.GiveUpReason;

/**
 * Graceful shutdown: from the notice on, nothing is admitted that came after the grace or could not end in time. What
 * was admitted before is answered before the stop, by the tick at the latest.
 */
final class DrainGate implements Stage {
    private final WorkloadStatistics statistics;
    private final DrainSchedule schedule;
    private final RequestEndings endings;
    private final Stage next;

    DrainGate(WorkloadStatistics statistics, DrainSchedule schedule, RequestEndings endings, Stage next) {
        this.statistics = statistics;
        this.schedule = schedule;
        this.endings = endings;
        this.next = next;
    }

    @Override
    public void admit(TrackedRequest request) {
        statistics.read(request.request);
        if (schedule.isTooLate(request)) {
            endings.giveUp(request, GiveUpReason.DRAINING);
        } else {
            next.admit(request);
        }
    }
}
