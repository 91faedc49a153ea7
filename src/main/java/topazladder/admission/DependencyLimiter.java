package topazladder.admission;

import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.Decision;
import topazladder.request.GiveUpReason;
import topazladder.request.Outcome;

/**
 * Makes the dependency calls of runs within the {@link DependencyCallLimit}, retries them with backoff, and skips
 * those that can be skipped rather than let them wait for longer than a call takes. A call that has an effect is
 * retried only if the last one proves to have had none.
 */
final class DependencyLimiter implements Stage {
    /** The backoff is drawn from half to one and a half times its mean. */
    private static final double MIN_BACKOFF_JITTER = 0.5;

    private final AdmissionContext context;
    private final MemoryBudget memory;
    private final DependencyCalls calls;
    private final DependencyCallLimit callLimit;
    private final ConcurrencyLimiter cores;
    private final RequestEndings endings;

    DependencyLimiter(AdmissionContext context, MemoryBudget memory, DependencyCalls calls,
            DependencyCallLimit callLimit,
            ConcurrencyLimiter cores, RequestEndings endings) {
        this.context = context;
        this.memory = memory;
        this.calls = calls;
        this.callLimit = callLimit;
        this.cores = cores;
        this.endings = endings;
    }

    /** Queues the call of a run that has left the cores for it. */
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
        // One is always made, however slow the last were: with none made, that would be believed for ever.
        double expectedSeconds = calls.inFlight() > 0 ? callLimit.callSeconds() : 0;
        if (context.now() + expectedSeconds >= request.usefulUntil) {
            skipOrGiveUp(request);
        } else if (callLimit.allowsCall(request.canSkipCall(), calls.atDependency())) {
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

    /** Goes on without the call where a degraded answer has a value, else gives the request up. */
    private void skipOrGiveUp(TrackedRequest request) {
        calls.stopWaiting(request);
        if (request.canSkipCall() && context.now() < request.usefulUntil) {
            context.emit(new Decision.SkipDependencyCall(request.request));
            cores.returnToCores(request);
        } else {
            endings.giveUp(request, GiveUpReason.DEPENDENCY_UNAVAILABLE);
        }
    }

    void callEnded(TrackedRequest request, Outcome outcome, double seconds) {
        calls.end();
        if (outcome == Outcome.SUCCEEDED) {
            callLimit.callSucceeded(seconds, calls.inFlight());
            cores.returnToCores(request);
            return;
        }
        if (outcome == Outcome.CONNECTION_LOST) {
            callLimit.connectionLost(calls.inFlight());
        } else {
            callLimit.callFailed(calls.inFlight());
        }
        if (outcome == Outcome.TIMED_OUT) {
            calls.linger(lingersUntil());
            callLimit.callTimedOut(seconds);
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
            // Retried at once after a rejection, a few requests would overload the dependency with reads.
            double backoffSeconds = (connectionLost ? 0 : Math.max(context.tickSeconds(), callLimit.callSeconds()))
                    * ++request.callRetries;
            request.nextCallAt =
                    context.now() + backoffSeconds * (MIN_BACKOFF_JITTER + context.random().nextDouble());
            admit(request);
        } else {
            skipOrGiveUp(request);
        }
    }

    /** Its final answer is given: no call is made for it any more, though the dependency may be at work on one. */
    void abandon(TrackedRequest request) {
        if (request.phase == Phase.CALLING) {
            calls.end();
            calls.linger(lingersUntil());
        }
        calls.stopWaiting(request);
        memory.move(request, Phase.AWAITING_CALL);
    }

    private double lingersUntil() {
        return context.now() + context.settings().abandonedCallLingerSeconds();
    }

    void onClosing(TrackedRequest request) {
        if (request.isOffCores()) {
            abandon(request);
        }
    }

    void tick() {
        calls.forgetLingering(context.now());
        makeCalls();
    }
}
