package topazladder.admission;

import topazladder.admission.TrackedRequest.Phase;

/**
 * Tracks memory use, in kilobytes: {@code queued + running * runMemoryFactor + stored keys}. A waiting request occupies
 * the memory that it needed when it was read; from its start to its end it occupies that times the factor.
 */
final class MemoryBudget {
    /** Decisions take effect with a delay and sizes are rounded, so 5 % of the memory is kept free. */
    private static final double USABLE_SHARE = 0.95;
    private static final int REQUEST_SIZE_WINDOW_REQUESTS = 10;

    private final AdmissionContext context;
    private final RememberedKeys keys;
    private final ExponentialMean requestKilobytes = new ExponentialMean(REQUEST_SIZE_WINDOW_REQUESTS);
    private double usedKilobytes;

    MemoryBudget(AdmissionContext context, RememberedKeys keys) {
        this.context = context;
        this.keys = keys;
    }

    /** Charges a request that has just arrived. */
    void charge(TrackedRequest request) {
        usedKilobytes += sizeOf(request);
    }

    /** Moves the request to another phase and charges the memory that it occupies in that phase. */
    void move(TrackedRequest request, Phase phase) {
        usedKilobytes -= sizeOf(request);
        request.phase = phase;
        usedKilobytes += sizeOf(request);
    }

    /** Adds the request to the mean request size. */
    void recordSize(TrackedRequest request) {
        requestKilobytes.add(request.request.memoryKilobytes(), context.now());
    }

    /** Whether that many kilobytes more fit into the memory. */
    boolean fits(double moreKilobytes) {
        return usedKilobytes + keys.kilobytes() + moreKilobytes <= usableKilobytes();
    }

    /** Whether the memory suffices to start a queued request. */
    boolean fitsStartOf(TrackedRequest request) {
        return fits(request.request.memoryKilobytes() * (context.settings().runMemoryFactor() - 1));
    }

    /** Whether another key fits, next to the requests in flight and next to one mean run per core. */
    boolean fitsAnotherKey() {
        double kilobytesOfFullCores =
                context.settings().cores() * requestKilobytes.value() * context.settings().runMemoryFactor();
        return keys.kilobytes() + keys.kilobytesPerKey()
                + Math.max(usedKilobytes, kilobytesOfFullCores) <= usableKilobytes();
    }

    private double usableKilobytes() {
        return context.settings().memoryKilobytes() * USABLE_SHARE;
    }

    private double sizeOf(TrackedRequest request) {
        return switch (request.phase) {
            case CLOSED -> 0;
            case QUEUED, WAITING_FOR_ORIGINAL -> request.request.memoryKilobytes();
            default -> request.request.memoryKilobytes() * context.settings().runMemoryFactor();
        };
    }
}
