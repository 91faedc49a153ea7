package topazladder.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Owns the list of the requests that wait for a core, and their order: higher priority weight first, against a flood of
 * cheap requests that came before the dear ones; among equals the oldest first. Once the queue has stood at twice its
 * target or more for the shortest latency objective, it is the newest first: the oldest would all come too late.
 */
final class RequestQueue {
    private static final double FULL_QUEUE_PER_TARGET = 2;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    /** By arrival; emptied by starts and endings. */
    private final List<TrackedRequest> queued = new ArrayList<>();
    private double fullSince = Double.POSITIVE_INFINITY;

    RequestQueue(AdmissionContext context, WorkloadStatistics statistics) {
        this.context = context;
        this.statistics = statistics;
    }

    void add(TrackedRequest request) {
        queued.add(request);
    }

    void remove(TrackedRequest request) {
        queued.remove(request);
    }

    int size() {
        return queued.size();
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    /** A copy, for whoever ends requests on the way. */
    List<TrackedRequest> snapshot() {
        return List.copyOf(queued);
    }

    /** The one to start next; the queue must not be empty. */
    TrackedRequest first() {
        return queued.stream().reduce((a, b) -> startsAfter(a, b) ? b : a).get();
    }

    /** How many others start before it. */
    long countAheadOf(TrackedRequest request) {
        return queued.stream().filter(other -> other != request && !startsAfter(other, request)).count();
    }

    void tick() {
        fullSince = queued.size() >= FULL_QUEUE_PER_TARGET * statistics.queueTarget()
                ? Math.min(fullSince, context.now()) : Double.POSITIVE_INFINITY;
    }

    private boolean startsAfter(TrackedRequest a, TrackedRequest b) {
        double weightOfA = a.requestClass.priorityWeight();
        double weightOfB = b.requestClass.priorityWeight();
        if (weightOfA != weightOfB) {
            return weightOfA < weightOfB;
        }
        boolean newestFirst = context.now() - fullSince > context.shortestObjectiveSeconds();
        return newestFirst ? a.arrivedAt < b.arrivedAt : a.arrivedAt > b.arrivedAt;
    }
}
