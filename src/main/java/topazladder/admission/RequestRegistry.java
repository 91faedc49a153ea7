package topazladder.admission;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import topazladder.request.Request;

/** Owns the list of all requests in flight, in the order of their arrival; emptied as they end. */
final class RequestRegistry {
    private final Map<Request, TrackedRequest> inFlight = new LinkedHashMap<>();
    /** Ended without a run at this very time; emptied as time goes on. */
    private final Set<Request> endedUnrunNow = new HashSet<>();

    void add(TrackedRequest tracked) {
        inFlight.put(tracked.request, tracked);
    }

    void remove(TrackedRequest tracked) {
        inFlight.remove(tracked.request);
        if (!tracked.mayHaveTakenEffect) {
            endedUnrunNow.add(tracked.request);
        }
    }

    void timeGoesOn() {
        endedUnrunNow.clear();
    }

    /** The request if it is in flight, else null; null for null. */
    TrackedRequest find(Request request) {
        return request == null ? null : inFlight.get(request);
    }

    boolean contains(Request request) {
        return inFlight.containsKey(request);
    }

    /** Whether it has ended without a run at this very time, so that its key is forgotten only now. */
    boolean endedUnrunNow(Request request) {
        return endedUnrunNow.contains(request);
    }

    Collection<TrackedRequest> all() {
        return inFlight.values();
    }

    /** A copy, for whoever ends requests on the way. */
    List<TrackedRequest> snapshot() {
        return List.copyOf(inFlight.values());
    }
}
