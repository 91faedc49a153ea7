package topazladder.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazladder.request.Request;

/** All requests that the admission controller has in flight; emptied after each event of those that it let go. */
final class InFlightRequests {
    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final Map<Request, InFlightRequest> byRequest = new HashMap<>();
    /** Those that the current event concerns, which may be over after it. */
    private final List<InFlightRequest> affected = new ArrayList<>();

    void add(InFlightRequest inFlight) {
        byId.put(inFlight.requestId(), inFlight);
        byRequest.put(inFlight.request(), inFlight);
        affected.add(inFlight);
    }

    /** The request of an id, or null. */
    InFlightRequest find(String requestId) {
        return byId.get(requestId);
    }

    /** The request that the admission controller knows by this, or null; it may be over after the current event. */
    InFlightRequest affect(Request request) {
        InFlightRequest inFlight = byRequest.get(request);
        if (inFlight != null) {
            affected.add(inFlight);
        }
        return inFlight;
    }

    /** The request may be over after the current event. */
    void affect(InFlightRequest inFlight) {
        affected.add(inFlight);
    }

    boolean contains(String requestId) {
        return byId.containsKey(requestId);
    }

    boolean contains(Request request) {
        return byRequest.containsKey(request);
    }

    /** Whether it is in flight still, and not another request of the same id. */
    boolean contains(InFlightRequest inFlight) {
        return byId.get(inFlight.requestId()) == inFlight;
    }

    /** A copy of those that the current event concerned. */
    List<InFlightRequest> affected() {
        return List.copyOf(affected);
    }

    void clearAffected() {
        affected.clear();
    }

    /** Removes the id of a request that is over; returns whether it was there. */
    boolean removeId(InFlightRequest inFlight) {
        return byId.remove(inFlight.requestId(), inFlight);
    }

    /** Removes what {@link #removeId} leaves of it. */
    void removeRequest(InFlightRequest inFlight) {
        byRequest.remove(inFlight.request());
    }

    int size() {
        return byId.size();
    }
}
