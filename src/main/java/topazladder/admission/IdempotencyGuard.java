package topazladder.admission;

import java.util.List;
import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.Decision;
import topazladder.request.GiveUpReason;
import topazladder.request.RequestClass.Idempotency;

/**
 * Ensures that no request with an idempotency key runs twice within the window of its key. If the original has run or
 * is running, a duplicate is answered with its result. If the original has not started yet, the duplicate waits for it
 * to end, and takes its place if it ends without a run.
 *
 * <p>A request whose key cannot be stored for lack of memory is rejected, as without the key it could run twice.
 */
final class IdempotencyGuard implements Stage {
    /**
     * Key memory is freed as key windows end, not as load falls, so after a tenth of a window some of it is free again.
     */
    private static final double RETRY_AFTERS_PER_WINDOW = 10;

    private final AdmissionContext context;
    private final RequestRegistry registry;
    private final RememberedKeys keys;
    private final MemoryBudget memory;
    private final RetryAdvice retryAdvice;
    private final RequestTerminator terminator;
    private final Stage next;

    IdempotencyGuard(AdmissionContext context, RequestRegistry registry, RememberedKeys keys, MemoryBudget memory,
            RetryAdvice retryAdvice, RequestTerminator terminator, Stage next) {
        this.context = context;
        this.registry = registry;
        this.keys = keys;
        this.memory = memory;
        this.retryAdvice = retryAdvice;
        this.terminator = terminator;
        this.next = next;
    }

    @Override
    public void admit(TrackedRequest request) {
        if (request.requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY) {
            next.admit(request);
            return;
        }
        TrackedRequest original = registry.find(request.request.original());
        if (original != null && !original.mayHaveTakenEffect) {
            memory.move(request, Phase.WAITING_FOR_ORIGINAL);
            original.waitingDuplicates.add(request);
        } else if (request.request.duplicate() && !registry.endedUnstartedAtCurrentTime(request.request.original())) {
            answerFromOriginal(request);
        } else {
            admitOriginal(request);
        }
    }

    /** Admits the first request with its key and stores the key. */
    private void admitOriginal(TrackedRequest request) {
        double windowSeconds = request.requestClass.idempotencyWindowSeconds();
        if (!memory.fitsAnotherKey()) {
            retryAdvice.reject(request, windowSeconds / RETRY_AFTERS_PER_WINDOW, false,
                    GiveUpReason.IDEMPOTENCY_KEY_MEMORY);
            terminator.close(request);
            return;
        }
        next.admit(request);
        if (request.phase != Phase.CLOSED && windowSeconds > 0) {
            // The window starts when the request is read, not when it arrived. A duplicate that arrived within a short
            // window may stay unread as long as this one did, and would run too if the window had ended meanwhile.
            context.emit(new Decision.RememberIdempotencyKey(request.request, windowSeconds));
            keys.remember(request, context.now() + windowSeconds);
        }
    }

    private void answerFromOriginal(TrackedRequest request) {
        memory.move(request, Phase.ANSWERED_FROM_ORIGINAL);
        context.emit(new Decision.AnswerFromOriginal(request.request));
    }

    /** Deletes the key of a request that ends without a run, so that a retry may run. */
    void onClosing(TrackedRequest request) {
        // The key is deleted past its window too. Otherwise a duplicate that arrived within the window and is read now
        // would wait for a run that never started.
        if (!request.mayHaveTakenEffect && request.keyRememberedUntil > 0) {
            keys.forget(request);
            context.emit(new Decision.ForgetIdempotencyKey(request.request));
        }
    }

    /** Answers or admits the duplicates that waited for this request to end. */
    void releaseDuplicates(TrackedRequest original) {
        List<TrackedRequest> waiting = original.waitingDuplicates.stream()
                .filter(duplicate -> duplicate.phase == Phase.WAITING_FOR_ORIGINAL).toList();
        if (original.mayHaveTakenEffect) {
            waiting.forEach(this::answerFromOriginal);
        } else if (!waiting.isEmpty()) {
            TrackedRequest successor = waiting.get(0);
            successor.waitingDuplicates.addAll(waiting.subList(1, waiting.size()));
            memory.move(successor, Phase.QUEUED);
            admitOriginal(successor);
        }
    }

    void tick() {
        keys.forgetExpired(context.now());
    }
}
