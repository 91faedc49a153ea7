package topazladder.admission;

import java.util.List;
import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.Decision;
import topazladder.request.GiveUpReason;
import topazladder.request.RequestClass.Idempotency;

/**
 * Lets no request with an idempotency key run twice within the window of its key. A duplicate is answered from the
 * result of its original if that has run. If the original is still queued, the duplicate waits for what becomes of it,
 * and takes its place if that ends without a run.
 *
 * <p>A request whose key can't be remembered for want of memory is rejected, as without the key it could run twice.
 */
final class IdempotencyGuard implements Stage {
    /**
     * Memory of keys comes free as windows end, not as load falls: after a tenth of a window there is room for some.
     */
    private static final double RETRY_AFTERS_PER_WINDOW = 10;

    private final AdmissionContext context;
    private final RequestRegistry registry;
    private final RememberedKeys keys;
    private final MemoryBudget memory;
    private final RetryAdvice retryAdvice;
    private final RequestEndings endings;
    private final Stage next;

    IdempotencyGuard(AdmissionContext context, RequestRegistry registry, RememberedKeys keys, MemoryBudget memory,
            RetryAdvice retryAdvice, RequestEndings endings, Stage next) {
        this.context = context;
        this.registry = registry;
        this.keys = keys;
        this.memory = memory;
        this.retryAdvice = retryAdvice;
        this.endings = endings;
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
            original.followers.add(request);
        } else if (request.request.duplicate() && !registry.endedUnrunNow(request.request.original())) {
            answerFromOriginal(request);
        } else {
            admitFirst(request);
        }
    }

    private void admitFirst(TrackedRequest request) {
        double windowSeconds = request.requestClass.idempotencyWindowSeconds();
        if (!memory.hasRoomForAnotherKey()) {
            retryAdvice.reject(request, windowSeconds / RETRY_AFTERS_PER_WINDOW, false,
                    GiveUpReason.IDEMPOTENCY_KEY_MEMORY);
            endings.close(request);
            return;
        }
        next.admit(request);
        if (request.phase != Phase.CLOSED && windowSeconds > 0) {
            // From its reading on, not from its arrival: a duplicate that came within a short window may lie unread as
            // long as this one did, and would run as well if the window had ended meanwhile.
            context.emit(new Decision.RememberIdempotencyKey(request.request, windowSeconds));
            keys.remember(request, context.now() + windowSeconds);
        }
    }

    private void answerFromOriginal(TrackedRequest request) {
        memory.move(request, Phase.ANSWERED_FROM_ORIGINAL);
        context.emit(new Decision.AnswerFromOriginal(request.request));
    }

    /** Forgets the key of a request that ends without a run, so that a retry may run. */
    void onClosing(TrackedRequest request) {
        // Also past its window: a duplicate that came within it and is read now would wait for a run that never was.
        if (!request.mayHaveTakenEffect && request.keyRememberedUntil > 0) {
            keys.forget(request);
            context.emit(new Decision.ForgetIdempotencyKey(request.request));
        }
    }

    /** Lets the duplicates that wait for a request go on, now that it is over. */
    void releaseFollowers(TrackedRequest original) {
        List<TrackedRequest> waiting = original.followers.stream()
                .filter(follower -> follower.phase == Phase.WAITING_FOR_ORIGINAL).toList();
        if (original.mayHaveTakenEffect) {
            waiting.forEach(this::answerFromOriginal);
        } else if (!waiting.isEmpty()) {
            TrackedRequest successor = waiting.get(0);
            successor.followers.addAll(waiting.subList(1, waiting.size()));
            memory.move(successor, Phase.QUEUED);
            admitFirst(successor);
        }
    }

    void tick() {
        keys.forgetExpired(context.now());
    }
}
