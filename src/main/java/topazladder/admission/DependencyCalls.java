package topazladder.admission;

import java.util.ArrayList;
import java.util.List;

/** Tracks dependency calls: the requests waiting to make one, the calls in flight and the abandoned calls. */
final class DependencyCalls {
    /** Requests leave the list when their call is made or skipped, or when they end. */
    private final List<TrackedRequest> waiting = new ArrayList<>();
    /** The times at which the dependency stops working on abandoned calls; past times are removed. */
    private final List<Double> abandonedUntil = new ArrayList<>();
    private int inFlight;

    void await(TrackedRequest request) {
        waiting.add(request);
    }

    void stopWaiting(TrackedRequest request) {
        waiting.remove(request);
    }

    /** Returns a copy, so that calls can be made while it is iterated. */
    List<TrackedRequest> waiting() {
        return List.copyOf(waiting);
    }

    void begin() {
        inFlight++;
    }

    void end() {
        inFlight--;
    }

    /** A call was abandoned, and the dependency may work on it until the given time. */
    void abandon(double until) {
        abandonedUntil.add(until);
    }

    void removeExpired(double now) {
        abandonedUntil.removeIf(until -> until <= now);
    }

    /** Number of calls whose replies are awaited. */
    int inFlight() {
        return inFlight;
    }

    /** Number of calls that the dependency may be working on, including abandoned ones. */
    int outstanding() {
        return inFlight + abandonedUntil.size();
    }

    /** Number of requests that wait for the dependency, all of which may return to the cores at once. */
    int pending() {
        return inFlight + waiting.size();
    }
}
