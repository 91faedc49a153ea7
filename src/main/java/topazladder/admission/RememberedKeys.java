package topazladder.admission;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Stored idempotency keys. A key is removed when its window ends or when its request ends without a run. */
final class RememberedKeys {
    /** Requests whose keys are stored, ordered by the end of the key window. */
    private final PriorityQueue<TrackedRequest> requests =
            new PriorityQueue<>(Comparator.comparingDouble((TrackedRequest request) -> request.keyRememberedUntil));
    private final double kilobytesPerKey;

    RememberedKeys(AdmissionSettings settings) {
        kilobytesPerKey = settings.idempotencyKeyKilobytes();
    }

    void remember(TrackedRequest request, double until) {
        request.keyRememberedUntil = until;
        requests.add(request);
    }

    void forget(TrackedRequest request) {
        requests.remove(request);
    }

    void forgetExpired(double now) {
        requests.removeIf(request -> request.keyRememberedUntil <= now);
    }

    double kilobytes() {
        return requests.size() * kilobytesPerKey;
    }

    double kilobytesPerKey() {
        return kilobytesPerKey;
    }
}
