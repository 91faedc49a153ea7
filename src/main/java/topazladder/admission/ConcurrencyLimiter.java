package topazladder.admission;

import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.Decision;

/**
 * Limits how many requests run at once. The limit starts at the number of cores. It grows by one where all that was
 * running for half a second left cores idle while requests waited, as where runs wait for a disk, and falls back by one
 * otherwise. A request is started where all of these hold:
 *
 * <ul>
 * <li>running &lt; limit, and running and other work together too, where the other work counts for at most half of the
 * limit, or a flood of reads would leave nothing running;
 * <li>running and waiting for the dependency &lt; what the server survives, as all of them may come back to the cores
 * at once: {@code cores * (1 + (collapseFactor - 1) * serverSpeed) * 0.75};
 * <li>its memory fits in.
 * </ul>
 */
final class ConcurrencyLimiter implements Stage {
    /** The concurrency at which a server collapses is an average over some time; the rest is for peaks. */
    private static final double SAFE_SHARE_OF_COLLAPSE = 0.75;
    private static final double MAX_OTHER_WORK_PER_LIMIT = 0.5;
    /** One read at a time is ordinary and takes no room from runs. */
    private static final double ORDINARY_OTHER_WORK = 1;
    private static final int OTHER_WORK_WINDOW_TICKS = 4;
    /** The gauge of core use is an average over this time. */
    private static final double UPDATE_SECONDS = 0.5;
    private static final double IDLE_CORE_USE = 0.9;

    private final AdmissionContext context;
    private final MemoryBudget memory;
    private final RequestQueue queue;
    private final DependencyCalls calls;
    private int running;
    private double limit;
    /** What else wants a core: reads, health checks, handshakes. Crowded out, they would leave the server blind. */
    private final ExponentialMean otherWork = new ExponentialMean(OTHER_WORK_WINDOW_TICKS);
    /** At every tick since the last update: a queue of a moment would let the limit creep up against a late gauge. */
    private boolean atLimitSinceUpdate;
    private double nextUpdateAt = AdmissionContext.START_SECONDS;

    ConcurrencyLimiter(AdmissionContext context, MemoryBudget memory, RequestQueue queue, DependencyCalls calls) {
        this.context = context;
        this.memory = memory;
        this.queue = queue;
        this.calls = calls;
        limit = context.settings().cores();
    }

    boolean hasRoomFor(TrackedRequest request) {
        return running < limit && fitsWithOtherWork() && fitsCollapseBound() && memory.hasRoomToStart(request);
    }

    private boolean fitsWithOtherWork() {
        return running + Math.min(otherWork.value() - ORDINARY_OTHER_WORK, limit * MAX_OTHER_WORK_PER_LIMIT) < limit;
    }

    private boolean fitsCollapseBound() {
        return running + calls.pending() < maxConcurrency();
    }

    /** Running and waiting requests that this server survives. */
    private double maxConcurrency() {
        double collapseFactor = context.settings().collapseFactor();
        return context.settings().cores() * (1 + (collapseFactor - 1) * context.serverSpeed()) * SAFE_SHARE_OF_COLLAPSE;
    }

    @Override
    public void admit(TrackedRequest request) {
        request.mayHaveTakenEffect = true;
        request.startedAt = context.now();
        memory.move(request, Phase.RUNNING);
        running++;
        context.emit(new Decision.Start(request.request));
    }

    /** The run has left the cores for its dependency call. */
    void leaveCores(TrackedRequest request) {
        running--;
        memory.move(request, Phase.AWAITING_CALL);
    }

    /** The run comes back to the cores, whether there is room or not. */
    void returnToCores(TrackedRequest request) {
        running++;
        memory.move(request, Phase.RUNNING);
    }

    void onClosing(TrackedRequest request) {
        if (request.phase == Phase.RUNNING) {
            running--;
        }
    }

    /** Requests on the cores. */
    int running() {
        return running;
    }

    /** Reads, health checks and handshakes that want a core, on average. */
    double otherWork() {
        return otherWork.value();
    }

    /** Whether neither runs nor other work fill the cores. */
    boolean isIdle() {
        return running + otherWork.value() < context.settings().cores();
    }

    void tick(RuntimeGauges gauges) {
        otherWork.add(Math.max(0, gauges.onCores(running) - running), context.now());
        atLimitSinceUpdate &= running >= limit && !queue.isEmpty();
        if (context.now() < nextUpdateAt) {
            return;
        }
        if (atLimitSinceUpdate && gauges.coreUse() < IDLE_CORE_USE) {
            limit++;
        } else if (limit > context.settings().cores()) {
            limit--;
        }
        atLimitSinceUpdate = true;
        nextUpdateAt = context.now() + UPDATE_SECONDS;
    }
}
