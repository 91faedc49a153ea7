package topazladder.admission;

/**
 * Owns the times of the graceful shutdown, in seconds since the start of the server; all are infinite until it begins.
 */
final class DrainSchedule {
    /** The tick may come late, and the answer must still get out. */
    private static final double TICKS_BEFORE_STOP = 2;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private double graceEndsAt = Double.POSITIVE_INFINITY;
    private double stopsAt = Double.POSITIVE_INFINITY;
    private boolean draining;

    DrainSchedule(AdmissionContext context, WorkloadStatistics statistics) {
        this.context = context;
        this.statistics = statistics;
    }

    void begin(double secondsToStop) {
        graceEndsAt = context.now() + context.settings().drainGraceSeconds();
        stopsAt = context.now() + secondsToStop;
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** The time by which all must be answered. */
    double lastAnswerAt() {
        return stopsAt - TICKS_BEFORE_STOP * context.tickSeconds();
    }

    /** Whether the request came after the grace, or its run could not end before the stop and would be failed then. */
    boolean isTooLate(TrackedRequest request) {
        return request.arrivedAt > graceEndsAt
                || context.now() + statistics.runSeconds(request.requestClass) >= lastAnswerAt();
    }
}
