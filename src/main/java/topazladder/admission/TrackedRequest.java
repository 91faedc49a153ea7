package topazladder.admission;

import java.util.ArrayList;
import java.util.List;
import topazladder.request.Request;
import topazladder.request.RequestClass;

/**
 * State of one request from its being read to its end. Each mutable field documents the class that may change it. Times
 * are in seconds since the start of the server.
 */
final class TrackedRequest {

    /** Progress of a request. */
    enum Phase {
        /** Just read, or waiting for a core. */
        QUEUED,
        /** A duplicate that waits for the end of its original, which has not started yet. */
        WAITING_FOR_ORIGINAL,
        /** A duplicate that is answered with the result of its original. */
        ANSWERED_FROM_ORIGINAL,
        /** Its run occupies a core. */
        RUNNING,
        /** Its run has released its core, and no dependency call is in flight for it. */
        AWAITING_CALL,
        /** Its run has released its core, and its dependency call is in flight. */
        CALLING,
        /** Ended; no further decision concerns it. */
        CLOSED
    }

    final Request request;
    final RequestClass requestClass;
    /** When it arrived at the machine, which may be before it was read. */
    final double arrivedAt;
    /** When its final answer is due. */
    final double deadline;
    /** Until when an answer has a value. */
    final double usefulUntil;

    /** Changed only by {@link MemoryBudget#move}, as its memory use depends on the phase. */
    Phase phase = Phase.QUEUED;
    /**
     * Whether no further answer may be sent, because the final one was sent or the caller has disconnected. The run may
     * still continue. Set by every class that emits an answer, never reset.
     */
    boolean answered;

    /**
     * Whether the request may have had its effect. Set by {@link ConcurrencyLimiter} when the run starts, and reset by
     * {@link AdmissionController} if the outcome of the run proves that there was no effect.
     */
    boolean mayHaveTakenEffect;
    /** When its run was started. Changed by {@link ConcurrencyLimiter}. */
    double startedAt;

    /** Duplicates that wait for its end. Changed by {@link IdempotencyGuard}. */
    final List<TrackedRequest> waitingDuplicates = new ArrayList<>(0);
    /** End of the window of its idempotency key; 0 if the key was never stored. Changed by {@link RememberedKeys}. */
    double keyRememberedUntil;

    /** When it is answered as failed unless its run has reported by then. Changed by {@link UncertainStarts}. */
    double confirmationDueAt = Double.POSITIVE_INFINITY;
    /** When its start is resent to find out whether the first one was read. Changed by {@link UncertainStarts}. */
    double resendStartAt = Double.POSITIVE_INFINITY;

    /** When it began to wait for permission to make its dependency call. Changed by {@link DependencyLimiter}. */
    double awaitingCallSince;
    /** End of the backoff before its dependency call is retried. Changed by {@link DependencyLimiter}. */
    double nextCallAt;
    /** Number of retries of its dependency call. Changed by {@link DependencyLimiter}. */
    int callRetries;

    TrackedRequest(Request request, double now) {
        this.request = request;
        requestClass = request.requestClass();
        arrivedAt = now - request.queuedSeconds();
        double callerDeadline = request.remainingSeconds() > 0 ? now + request.remainingSeconds()
                : arrivedAt + requestClass.deadlineSeconds();
        deadline = Math.max(now, callerDeadline);
        usefulUntil = requestClass.lateValueShare() > 0 ? deadline
                : Math.min(deadline, arrivedAt + requestClass.latencyObjectiveSeconds());
    }

    /** Whether its run has released its core to wait for the dependency. */
    boolean isOffCores() {
        return phase == Phase.CALLING || phase == Phase.AWAITING_CALL;
    }

    /** Whether an answer without the dependency call has a value. */
    boolean canSkipCall() {
        return requestClass.degradedValueShare() > 0;
    }

    /** Whether its run and its dependency call may be repeated. */
    boolean isRetrySafe() {
        return requestClass.idempotency() == RequestClass.Idempotency.RETRY_SAFE;
    }
}
