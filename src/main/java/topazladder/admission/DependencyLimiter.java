package topazladder.admission;

import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.Decision;
import topazladder.request.GiveUpReason;
import topazladder.request.Outcome;

/**
 * Makes the dependency calls of runs within the {@link DependencyCallLimit} and retries failed ones with backoff. A
 * call that can be skipped is skipped once it has waited longer than a call takes. A call with an effect is retried
 * only if the outcome of the previous attempt proves that it had none.
 */
final class DependencyLimiter implements Stage {
    /** The backoff is drawn uniformly from 0.5 to 1.5 times its mean. */
    private static final double MIN_BACKOFF_JITTER = 0.5;

    private final AdmissionContext context;
    private final MemoryBudget memory;
    private final DependencyCalls calls;
    private final DependencyCallLimit callLimit;
    private final ConcurrencyLimiter concurrencyLimiter;
    private final RequestTerminator terminator;

    DependencyLimiter(AdmissionContext context, MemoryBudget memory, DependencyCalls calls,
            DependencyCallLimit callLimit, ConcurrencyLimiter concurrencyLimiter, RequestTerminator terminator) {
        this.context = context;
        this.memory = memory;
        this.calls = calls;
        this.callLimit = callLimit;
        this.concurrencyLimiter = concurrencyLimiter;
        this.terminator = terminator;
    }

    /** Queues the dependency call of a run that has released its core. */
    @Override
    public void admit(TrackedRequest request) {
        request.awaitingCallSince = context.now();
        calls.await(request);
        makeCalls();
    }

    private void makeCalls() {
        for (TrackedRequest request : calls.waiting()) {
            boolean due = context.now() >= request.nextCallAt;
            if (request.phase == Phase.AWAITING_CALL && !request.answered && due) {
                callSkipOrWait(request);
            }
        }
    }

    private void callSkipOrWait(TrackedRequest request) {
        // With no call in flight one is always made, however slow the last ones were. Otherwise the expected time would
        // never be measured again.
        double expectedSeconds = calls.inFlight() > 0 ? callLimit.callSeconds() : 0;
        if (context.now() + expectedSeconds >= request.usefulUntil) {
            skipOrGiveUp(request);
        } else if (callLimit.allowsCall(request.canSkipCall(), calls.outstanding())) {
            call(request);
        } else if (context.now() - request.awaitingCallSince > callLimit.callSeconds() && request.canSkipCall()) {
            skipOrGiveUp(request);
        }
    }

    private void call(TrackedRequest request) {
        calls.stopWaiting(request);
        memory.move(request, Phase.CALLING);
        calls.begin();
        double maxTimeout = request.isRetrySafe() ? callLimit.maxTimeoutOfRetryableCall() : Double.POSITIVE_INFINITY;
        context.emit(new Decision.CallDependency(request.request,
                Math.min(request.usefulUntil - context.now(), maxTimeout)));
    }

    /** Resumes the run without the call if a degraded answer still has a value, else gives the request up. */
    private void skipOrGiveUp(TrackedRequest request) {
        calls.stopWaiting(request);
        if (request.canSkipCall() && context.now() < request.usefulUntil) {
            context.emit(new Decision.SkipDependencyCall(request.request));
            concurrencyLimiter.returnToCores(request);
        } else {
            terminator.giveUp(request, GiveUpReason.DEPENDENCY_UNAVAILABLE);
        }
    }

    void callEnded(TrackedRequest request, Outcome outcome, double elapsedSeconds) {
        calls.end();
        if (outcome == Outcome.SUCCEEDED) {
            callLimit.callSucceeded(elapsedSeconds, calls.inFlight());
            concurrencyLimiter.returnToCores(request);
            return;
        }
        if (outcome == Outcome.CONNECTION_LOST) {
            callLimit.connectionLost(calls.inFlight());
        } else {
            callLimit.callFailed(calls.inFlight());
        }
        if (outcome == Outcome.TIMED_OUT) {
            calls.abandon(abandonedUntil());
            callLimit.callTimedOut(elapsedSeconds);
        }
        memory.move(request, Phase.AWAITING_CALL);
        if (!request.answered) {
            retryOrSkip(request, outcome);
        }
    }

    private void retryOrSkip(TrackedRequest request, Outcome outcome) {
        boolean connectionLost = outcome == Outcome.CONNECTION_LOST;
        boolean mayRetry = outcome.provesNoEffect() || request.isRetrySafe() && outcome != Outcome.TIMED_OUT;
        boolean worthRetrying = !request.canSkipCall() || connectionLost && request.callRetries == 0;
        if (mayRetry && worthRetrying) {
            // Without a backoff after a rejection, the retries of a few requests would keep the dependency busy with
            // reading calls and overload it.
            double backoffSeconds = (connectionLost ? 0 : Math.max(context.tickSeconds(), callLimit.callSeconds()))
                    * ++request.callRetries;
            request.nextCallAt =
                    context.now() + backoffSeconds * (MIN_BACKOFF_JITTER + context.random().nextDouble());
            admit(request);
        } else {
            skipOrGiveUp(request);
        }
    }

    /**
     * Makes no further call for a request that has its final answer. A call in flight is counted as abandoned, as the
     * dependency may still work on it.
     */
    void abandon(TrackedRequest request) {
        if (request.phase == Phase.CALLING) {
            calls.end();
            calls.abandon(abandonedUntil());
        }
        calls.stopWaiting(request);
        memory.move(request, Phase.AWAITING_CALL);
    }

    /** Until when the dependency may work on a call that is abandoned now. */
    private double abandonedUntil() {
        return context.now() + context.settings().abandonedCallLingerSeconds();
    }

    void onClosing(TrackedRequest request) {
        if (request.isOffCores()) {
            abandon(request);
        }
    }

    void tick() {
        calls.removeExpired(context.now());
        makeCalls();
    }
}
