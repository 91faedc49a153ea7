package topazladder.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazladder.request.Request;

/** All requests that the admission controller has in flight; emptied after each event of those that it let go. */
final class InFlightRequests {
    /** The objects that one request is held by, from its connection to the admission controller. */
    private static final int OBJECT_BYTES = 1500;

    private final HeapShares heap;
    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final Map<Request, InFlightRequest> byRequest = new HashMap<>();
    /** Those that the current event concerns, which may be over after it. */
    private final List<InFlightRequest> affected = new ArrayList<>();
    private long heldBytes;

    InFlightRequests(HeapShares heap) {
        this.heap = heap;
    }

    /** Whether the heap has room for another request. */
    boolean fits(IncomingRequest incoming) {
        return heldBytes + bytesOf(incoming) <= heap.inFlightBytes();
    }

    /** The body counts twice: it is held again in the command that starts the run. */
    private static long bytesOf(IncomingRequest incoming) {
        return OBJECT_BYTES + 2L * incoming.body().length;
    }

    void add(InFlightRequest inFlight) {
        heldBytes += bytesOf(inFlight.incoming());
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
        boolean removed = byId.remove(inFlight.requestId(), inFlight);
        heldBytes -= removed ? bytesOf(inFlight.incoming()) : 0;
        return removed;
    }

    /** Removes what {@link #removeId} leaves of it. */
    void removeRequest(InFlightRequest inFlight) {
        byRequest.remove(inFlight.request());
    }

    int size() {
        return byId.size();
    }
}
