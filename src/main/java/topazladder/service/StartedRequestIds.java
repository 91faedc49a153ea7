package topazladder.service;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ids of requests that may have run, of classes that must run at most once and have no idempotency key. A caller that
 * left may send such a request again under its id; run again, it could have its effect twice.
 *
 * <p>None is dropped before its time for want of memory: where the store is full, no further request of these classes
 * is admitted.
 */
final class StartedRequestIds {
    private final HeapShares heap;
    private final double keptSeconds;
    /** When each is forgotten, in Unix seconds; emptied by {@link #sweep}, the earliest first. */
    private final Map<String, Double> forgottenAt = new LinkedHashMap<>();

    /** @param keptSeconds after which a request that is sent again unchanged is refused as too old */
    StartedRequestIds(HeapShares heap, double keptSeconds) {
        this.heap = heap;
        this.keptSeconds = keptSeconds;
    }

    /** A request that may have run is over. */
    void remember(String requestId, double nowUnixSeconds) {
        forgottenAt.remove(requestId); // so that the order is that of the times
        forgottenAt.put(requestId, nowUnixSeconds + keptSeconds);
    }

    boolean contains(String requestId) {
        return forgottenAt.containsKey(requestId);
    }

    /** Whether there is no room for another, beside those in flight that will need it. */
    boolean isFull() {
        return forgottenAt.size() >= heap.startedRequestIds();
    }

    void sweep(double nowUnixSeconds) {
        for (Iterator<Double> times = forgottenAt.values().iterator(); times.hasNext();) {
            if (times.next() >= nowUnixSeconds) {
                return;
            }
            times.remove();
        }
    }

    int size() {
        return forgottenAt.size();
    }
}
