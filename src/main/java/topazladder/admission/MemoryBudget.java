package topazladder.admission;

import topazladder.admission.TrackedRequest.Phase;

/**
 * Owns the account of memory: {@code queued + running * runMemoryFactor + remembered keys}, in kilobytes. A request
 * that only waits takes what it took on reading; from its start to its end it takes that times the factor.
 */
final class MemoryBudget {
    /** Decisions take effect late and costs are rounded, so the last of the memory is never planned for. */
    private static final double USABLE_SHARE = 0.95;
    private static final int COST_WINDOW_REQUESTS = 10;

    private final AdmissionContext context;
    private final RememberedKeys keys;
    private final ExponentialMean requestKilobytes = new ExponentialMean(COST_WINDOW_REQUESTS);
    private double takenKilobytes;

    MemoryBudget(AdmissionContext context, RememberedKeys keys) {
        this.context = context;
        this.keys = keys;
    }

    /** Charges a request that has just arrived. */
    void charge(TrackedRequest request) {
        takenKilobytes += cost(request);
    }

    /** Moves the request to another phase and charges what it takes there. */
    void move(TrackedRequest request, Phase phase) {
        takenKilobytes -= cost(request);
        request.phase = phase;
        takenKilobytes += cost(request);
    }

    /** Counts a request for the mean cost. */
    void read(TrackedRequest request) {
        requestKilobytes.add(request.request.memoryKilobytes(), context.now());
    }

    boolean hasRoomFor(double moreKilobytes) {
        return takenKilobytes + keys.kilobytes() + moreKilobytes <= usableKilobytes();
    }

    /** Whether the start of a queued request fits in. */
    boolean hasRoomToStart(TrackedRequest request) {
        return hasRoomFor(request.request.memoryKilobytes() * (context.settings().runMemoryFactor() - 1));
    }

    /** Whether another key fits in beside what is in flight, and beside the runs that fill the cores. */
    boolean hasRoomForAnotherKey() {
        double toFillCores =
                context.settings().cores() * requestKilobytes.value() * context.settings().runMemoryFactor();
        return keys.kilobytes() + keys.kilobytesPerKey()
                + Math.max(takenKilobytes, toFillCores) <= usableKilobytes();
    }

    private double usableKilobytes() {
        return context.settings().memoryKilobytes() * USABLE_SHARE;
    }

    private double cost(TrackedRequest request) {
        return switch (request.phase) {
            case CLOSED -> 0;
            case QUEUED, WAITING_FOR_ORIGINAL -> request.request.memoryKilobytes();
            default -> request.request.memoryKilobytes() * context.settings().runMemoryFactor();
        };
    }
}
