package topazladder.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that wait for a core, ordered by priority weight, so that a flood of low-priority requests does not delay
 * later ones of high priority. Requests of the same weight are started oldest first. Once the queue has been at least
 * twice its target length for the shortest latency objective, they are started newest first, as the oldest ones would
 * all finish too late.
 */
final class RequestQueue {
    /** Queue length, as a multiple of the target, from which the queue counts as too long. */
    private static final double LONG_QUEUE_PER_TARGET = 2;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    /** In the order in which they were queued; a request leaves the list when it is started or ends. */
    private final List<TrackedRequest> queued = new ArrayList<>();
    private double tooLongSince = Double.POSITIVE_INFINITY;

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

    /** Returns a copy, so that requests can be ended while it is iterated. */
    List<TrackedRequest> snapshot() {
        return List.copyOf(queued);
    }

    /** The request to start next; the queue must not be empty. */
    TrackedRequest first() {
        return queued.stream().reduce((a, b) -> startsAfter(a, b) ? b : a).get();
    }

    /** Number of queued requests that would be started before the given one. */
    long countAheadOf(TrackedRequest request) {
        return queued.stream().filter(other -> other != request && !startsAfter(other, request)).count();
    }

    void tick() {
        tooLongSince = queued.size() >= LONG_QUEUE_PER_TARGET * statistics.queueTarget()
                ? Math.min(tooLongSince, context.now()) : Double.POSITIVE_INFINITY;
    }

    private boolean startsAfter(TrackedRequest a, TrackedRequest b) {
        double weightOfA = a.requestClass.priorityWeight();
        double weightOfB = b.requestClass.priorityWeight();
        if (weightOfA != weightOfB) {
            return weightOfA < weightOfB;
        }
        boolean newestFirst = context.now() - tooLongSince > context.shortestObjectiveSeconds();
        return newestFirst ? a.arrivedAt < b.arrivedAt : a.arrivedAt > b.arrivedAt;
    }
}
