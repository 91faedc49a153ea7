package topazladder.admission;

import java.util.ArrayList;
import java.util.List;

/** Owns the account of dependency calls: which requests wait to call, and how many calls are in flight. */
final class DependencyCalls {
    /** Emptied by calls, by answers without one, and by endings. */
    private final List<TrackedRequest> waiting = new ArrayList<>();
    /** When the dependency is done with the calls that were given up; emptied as that passes. */
    private final List<Double> lingeringUntil = new ArrayList<>();
    private int inFlight;

    void await(TrackedRequest request) {
        waiting.add(request);
    }

    void stopWaiting(TrackedRequest request) {
        waiting.remove(request);
    }

    /** A copy, for whoever calls on the way. */
    List<TrackedRequest> waiting() {
        return List.copyOf(waiting);
    }

    void begin() {
        inFlight++;
    }

    void end() {
        inFlight--;
    }

    /** A call was given up, and the dependency may still be at work on it. */
    void linger(double until) {
        lingeringUntil.add(until);
    }

    void forgetLingering(double now) {
        lingeringUntil.removeIf(until -> until <= now);
    }

    /** Calls whose replies are awaited. */
    int inFlight() {
        return inFlight;
    }

    /** Calls that the dependency has in hand, the given-up ones among them. */
    int atDependency() {
        return inFlight + lingeringUntil.size();
    }

    /** Requests off the cores that may all come back to them at once. */
    int pending() {
        return inFlight + waiting.size();
    }
}
