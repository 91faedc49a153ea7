package topazladder.admission;

import topazladder.request.Decision;

/**
 * Starts that the runtime may not have read, as the link to it broke after they were written. Started again at once, a
 * request with an effect could run twice if its first run ends just then. So it waits for a sign for three mean run
 * times, as most starts were read; is then answered as failed; and is started once more only after that answer, which
 * shows that it never ran.
 */
final class UncertainStarts {
    private static final double RUN_TIMES_TO_WAIT = 3;
    private static final double RESTART_DELAY_PER_OBJECTIVE = 0.25;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final RequestRegistry registry;

    UncertainStarts(AdmissionContext context, WorkloadStatistics statistics, RequestRegistry registry) {
        this.context = context;
        this.statistics = statistics;
        this.registry = registry;
    }

    void startUncertain(TrackedRequest request) {
        if (request.isRetrySafe()) {
            context.emit(new Decision.Start(request.request));
            return;
        }
        double runSeconds = statistics.runSeconds(request.requestClass);
        request.signExpectedBy = runSeconds > 0
                ? Math.min(request.usefulUntil, context.now() + RUN_TIMES_TO_WAIT * runSeconds) : request.usefulUntil;
    }

    /** Its run has shown a sign. */
    void startConfirmed(TrackedRequest request) {
        request.signExpectedBy = Double.POSITIVE_INFINITY;
        request.startAgainAt = Double.POSITIVE_INFINITY;
    }

    void tick() {
        registry.all().forEach(this::settle);
    }

    private void settle(TrackedRequest request) {
        if (context.now() >= request.startAgainAt) {
            request.startAgainAt = Double.POSITIVE_INFINITY;
            context.emit(new Decision.Start(request.request));
        } else if (context.now() >= request.signExpectedBy) {
            request.signExpectedBy = Double.POSITIVE_INFINITY;
            // The answer takes another way than the start, which must not come before it.
            request.startAgainAt = context.now()
                    + Math.max(context.shortestObjectiveSeconds() * RESTART_DELAY_PER_OBJECTIVE,
                            context.settings().answerSlackSeconds());
            if (!request.answered) {
                request.answered = true;
                context.emit(new Decision.Fail(request.request));
            }
        }
    }
}
