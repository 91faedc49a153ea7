package topazladder.admission;

import java.util.ArrayList;
import java.util.List;
import topazladder.request.Request;
import topazladder.request.RequestClass;

/**
 * What the controller knows of one request from its arrival to its end. Each field that changes has one owner among the
 * rules, named beside it; times are in seconds since the start of the server.
 */
final class TrackedRequest {

    /** How far a request has come. */
    enum Phase {
        /** Just read, or queued for a core. */
        QUEUED,
        /** A duplicate that waits for what becomes of its original, which has not run yet. */
        WAITING_FOR_ORIGINAL,
        /** A duplicate that gets the result of its original. */
        ANSWERED_FROM_ORIGINAL,
        /** Its run is on the cores. */
        RUNNING,
        /** Its run is off the cores, and no dependency call is in flight for it. */
        AWAITING_CALL,
        /** Its run is off the cores while its dependency call is in flight. */
        CALLING,
        /** Over: no decision names it any more. */
        CLOSED
    }

    final Request request;
    final RequestClass requestClass;
    /** When it came to the machine, which may be before it was read. */
    final double arrivedAt;
    /** When its final answer is due. */
    final double deadline;
    /** Past this an answer has no value any more. */
    final double usefulUntil;

    /** Changed by {@link MemoryBudget#move} only, as the memory that it takes depends on it. */
    Phase phase = Phase.QUEUED;
    /**
     * Whether no answer is to be given any more, as the final one is given or the caller is gone. The run may go on all
     * the same. Set by whoever answers, never reset.
     */
    boolean answered;

    /**
     * Whether it may have had its effect. Set by {@link ConcurrencyLimiter} at its start; reset where its end proves
     * that it had none.
     */
    boolean mayHaveTakenEffect;
    /** Owned by {@link ConcurrencyLimiter}. */
    double startedAt;

    /** The duplicates that wait for its end. Owned by {@link IdempotencyGuard}. */
    final List<TrackedRequest> followers = new ArrayList<>(0);
    /**
     * The end of the window of its idempotency key; 0 if that was never remembered. Owned by {@link RememberedKeys}.
     */
    double keyRememberedUntil;

    /** Without a report from its run by then, it is answered as failed. Owned by {@link UncertainStarts}. */
    double confirmationDueAt = Double.POSITIVE_INFINITY;
    /** When its start is sent again to settle whether the first was read. Owned by {@link UncertainStarts}. */
    double resendStartAt = Double.POSITIVE_INFINITY;

    /** Since when it waits for its dependency call to be allowed. Owned by {@link DependencyLimiter}. */
    double awaitingCallSince;
    /** The end of the backoff before its dependency call is retried. Owned by {@link DependencyLimiter}. */
    double nextCallAt;
    /** Retries of its dependency call. Owned by {@link DependencyLimiter}. */
    int callRetries;

    TrackedRequest(Request request, double now) {
        this.request = request;
        requestClass = request.requestClass();
        arrivedAt = now - request.queuedSeconds();
        double lastMoment = request.remainingSeconds() > 0 ? now + request.remainingSeconds()
                : arrivedAt + requestClass.deadlineSeconds();
        deadline = Math.max(now, lastMoment);
        usefulUntil = requestClass.lateValueShare() > 0 ? deadline
                : Math.min(deadline, arrivedAt + requestClass.latencyObjectiveSeconds());
    }

    /** Whether its run is admitted but off the cores, where it waits for its dependency. */
    boolean isOffCores() {
        return phase == Phase.CALLING || phase == Phase.AWAITING_CALL;
    }

    /** Whether an answer without its dependency call has a value. */
    boolean canSkipCall() {
        return requestClass.degradedValueShare() > 0;
    }

    /** Whether it may run, or its dependency call be made, more than once. */
    boolean isRetrySafe() {
        return requestClass.idempotency() == RequestClass.Idempotency.RETRY_SAFE;
    }
}
