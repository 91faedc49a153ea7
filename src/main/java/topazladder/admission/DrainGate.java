package topazladder.admission;

import topazladder.request.GiveUpReason;

/**
 * During a graceful shutdown, gives up requests that arrived after the grace period or could not finish in time.
 * Requests admitted earlier are answered before the server stops, at the latest by the tick of the controller.
 */
final class DrainGate implements Stage {
    private final WorkloadStatistics statistics;
    private final DrainSchedule schedule;
    private final RequestTerminator terminator;
    private final Stage next;

    DrainGate(WorkloadStatistics statistics, DrainSchedule schedule, RequestTerminator terminator, Stage next) {
        this.statistics = statistics;
        this.schedule = schedule;
        this.terminator = terminator;
        this.next = next;
    }

    @Override
    public void admit(TrackedRequest request) {
        statistics.read(request.request);
        if (schedule.isTooLate(request)) {
            terminator.giveUp(request, GiveUpReason.DRAINING);
        } else {
            next.admit(request);
        }
    }
}
