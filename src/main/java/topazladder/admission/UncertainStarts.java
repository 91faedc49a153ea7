package topazladder.admission;

import topazladder.request.Decision;
import topazladder.request.GiveUpReason;

/**
 * Handles starts that the runtime may not have read because the connection to it was lost after they were written. A
 * retry-safe request is started again at once. Any other request could run twice if its first run had just ended, so
 *
 * <ol>
 * <li>for three mean run times the controller waits for a report from the run, as the runtime has read most starts;
 * <li>without a report the request is answered as failed, as it may have had its effect;
 * <li>after that answer the start is resent, and the reply of the runtime tells whether it read the first one.
 * </ol>
 */
final class UncertainStarts {
    /** Time to wait for a report, in mean run times. */
    private static final double RUN_TIMES_TO_CONFIRMATION = 3;
    /** Delay between the answer and the resent start, as a fraction of the shortest latency objective. */
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

    /** The run has reported something, so the runtime has read its start. */
    void startConfirmed(TrackedRequest request) {
        request.confirmationDueAt = Double.POSITIVE_INFINITY;
        request.resendStartAt = Double.POSITIVE_INFINITY;
    }

    void tick() {
        registry.all().forEach(this::answerOrResendIfDue);
    }

    private void answerOrResendIfDue(TrackedRequest request) {
        if (context.now() >= request.resendStartAt) {
            request.resendStartAt = Double.POSITIVE_INFINITY;
            context.emit(new Decision.Start(request.request));
        } else if (context.now() >= request.confirmationDueAt) {
            request.confirmationDueAt = Double.POSITIVE_INFINITY;
            // The answer and the start take different paths to their receivers, and the answer must arrive first.
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
