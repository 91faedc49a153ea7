package topazladder.admission;

/** The times of the graceful shutdown, in seconds since the start of the server; infinite until it begins. */
final class DrainSchedule {
    /** Answers are due two ticks before the stop, as a tick may be late and the answer must still be sent. */
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

    /** The time by which every request must be answered. */
    double lastAnswerAt() {
        return stopsAt - TICKS_BEFORE_STOP * context.tickSeconds();
    }

    /** Whether the request arrived after the grace period, or its run would not finish before the last answer. */
    boolean isTooLate(TrackedRequest request) {
        return request.arrivedAt > graceEndsAt
                || context.now() + statistics.runSeconds(request.requestClass) >= lastAnswerAt();
    }
}
