package topazladder.admission;

import topazladder.request.Decision;
import topazladder.request.GiveUpReason;

/**
 * Starts that the runtime may not have read, as the link to it broke after they were written. A retry-safe request is
 * started again at once. Any other could run twice if its first run ended just then, so
 *
 * <ol>
 * <li>for three mean run times the first start may still be confirmed by what its run reports, as most were read;
 * <li>without a confirmation the request is then answered as failed, as it may have had its effect;
 * <li>after that answer the start is sent again, so that the runtime's reply settles whether the first was read.
 * </ol>
 */
final class UncertainStarts {
    private static final double RUN_TIMES_TO_CONFIRMATION = 3;
    private static final double RESEND_DELAY_PER_OBJECTIVE = 0.25;

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
        request.confirmationDueAt = runSeconds > 0
                ? Math.min(request.usefulUntil, context.now() + RUN_TIMES_TO_CONFIRMATION * runSeconds)
                : request.usefulUntil;
    }

    /** Its run has reported something, so the runtime has read its start. */
    void startConfirmed(TrackedRequest request) {
        request.confirmationDueAt = Double.POSITIVE_INFINITY;
        request.resendStartAt = Double.POSITIVE_INFINITY;
    }

    void tick() {
        registry.all().forEach(this::settle);
    }

    private void settle(TrackedRequest request) {
        if (context.now() >= request.resendStartAt) {
            request.resendStartAt = Double.POSITIVE_INFINITY;
            context.emit(new Decision.Start(request.request));
        } else if (context.now() >= request.confirmationDueAt) {
            request.confirmationDueAt = Double.POSITIVE_INFINITY;
            // The answer takes another way to its receiver than the start, which must not come before it.
            request.resendStartAt = context.now()
                    + Math.max(context.shortestObjectiveSeconds() * RESEND_DELAY_PER_OBJECTIVE,
                            context.settings().answerSlackSeconds());
            if (!request.answered) {
                request.answered = true;
                context.emit(new Decision.Fail(request.request, GiveUpReason.START_UNCONFIRMED));
            }
        }
    }
}
