package topazladder.admission;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import topazladder.request.Request;

/** All requests in flight, in the order in which they were read. */
final class RequestRegistry {
    private final Map<Request, TrackedRequest> inFlight = new LinkedHashMap<>();
    /** Requests that ended without a run at the current time; cleared when the time advances. */
    private final Set<Request> endedUnstartedAtCurrentTime = new HashSet<>();

    void add(TrackedRequest tracked) {
        inFlight.put(tracked.request, tracked);
    }

    void remove(TrackedRequest tracked) {
        inFlight.remove(tracked.request);
        if (!tracked.mayHaveTakenEffect) {
            endedUnstartedAtCurrentTime.add(tracked.request);
        }
    }

    void timeAdvanced() {
        endedUnstartedAtCurrentTime.clear();
    }

    /** The tracked request if it is in flight, else null; null for null. */
    TrackedRequest find(Request request) {
        return request == null ? null : inFlight.get(request);
    }

    boolean contains(Request request) {
        return inFlight.containsKey(request);
    }

    /**
     * Whether the request ended without a run at the current time. Its key is deleted only now, so a duplicate read at
     * the same time may still be marked as one.
     */
    boolean endedUnstartedAtCurrentTime(Request request) {
        return endedUnstartedAtCurrentTime.contains(request);
    }

    Collection<TrackedRequest> all() {
        return inFlight.values();
    }

    /** Returns a copy, so that requests can be ended while it is iterated. */
    List<TrackedRequest> snapshot() {
        return List.copyOf(inFlight.values());
    }
}
