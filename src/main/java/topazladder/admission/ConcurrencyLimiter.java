package topazladder.admission;

import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.Decision;

/**
 * Limits the number of concurrent runs. The limit starts at the number of cores. Every half second it grows by one if
 * the cores were not fully used although the limit was reached and requests were queued all the time, as happens when
 * runs wait for a disk. Otherwise it shrinks by one, down to the number of cores. A request is started if all of these
 * hold:
 *
 * <ul>
 * <li>running &lt; limit, and running + other work &lt; limit, where other work counts for at most half of the limit;
 * without that bound, a flood of reads would leave nothing running;
 * <li>running + waiting for the dependency &lt; the concurrency that the server sustains, as all waiting runs may
 * return to the cores at once: {@code cores * (1 + (collapseFactor - 1) * serverSpeed) * 0.75};
 * <li>its run fits into the memory.
 * </ul>
 */
final class ConcurrencyLimiter implements Stage {
    /** The collapse concurrency is a time average, so a quarter of it is left as headroom for peaks. */
    private static final double SAFE_SHARE_OF_COLLAPSE = 0.75;
    private static final double MAX_OTHER_WORK_PER_LIMIT = 0.5;
    /** One read at a time is normal and does not reduce the number of runs. */
    private static final double ORDINARY_OTHER_WORK = 1;
    private static final int OTHER_WORK_WINDOW_TICKS = 4;
    /** Averaging period of the core use gauge. */
    private static final double UPDATE_SECONDS = 0.5;
    /** Core use below which the cores count as not fully used. */
    private static final double IDLE_CORE_USE = 0.9;

    private final AdmissionContext context;
    private final MemoryBudget memory;
    private final RequestQueue queue;
    private final DependencyCalls calls;
    private int running;
    private double limit;
    /**
     * Mean number of reads, health checks and handshakes that need a core. If runs starved them, the server would no
     * longer notice new requests.
     */
    private final ExponentialMean otherWork = new ExponentialMean(OTHER_WORK_WINDOW_TICKS);
    /**
     * Whether the limit was reached and requests were queued at every tick since the last update. If a momentary queue
     * were enough, the limit would creep up while the core use gauge lags behind.
     */
    private boolean atLimitSinceUpdate;
    private double nextUpdateAt = AdmissionContext.STARTUP_SECONDS;

    ConcurrencyLimiter(AdmissionContext context, MemoryBudget memory, RequestQueue queue, DependencyCalls calls) {
        this.context = context;
        this.memory = memory;
        this.queue = queue;
        this.calls = calls;
        limit = context.settings().cores();
    }

    boolean canStart(TrackedRequest request) {
        return running < limit && fitsWithOtherWork() && fitsCollapseBound() && memory.fitsStartOf(request);
    }

    private boolean fitsWithOtherWork() {
        return running + Math.min(otherWork.value() - ORDINARY_OTHER_WORK, limit * MAX_OTHER_WORK_PER_LIMIT) < limit;
    }

    private boolean fitsCollapseBound() {
        return running + calls.pending() < maxConcurrency();
    }

    /** The number of running requests and requests waiting for the dependency that this server sustains. */
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

    /** The run released its core to wait for a dependency call. */
    void leaveCores(TrackedRequest request) {
        running--;
        memory.move(request, Phase.AWAITING_CALL);
    }

    /** The run resumes on the cores, even if that exceeds the limit. */
    void returnToCores(TrackedRequest request) {
        running++;
        memory.move(request, Phase.RUNNING);
    }

    void onClosing(TrackedRequest request) {
        if (request.phase == Phase.RUNNING) {
            running--;
        }
    }

    /** Number of runs on the cores. */
    int running() {
        return running;
    }

    /** Mean number of reads, health checks and handshakes that need a core. */
    double otherWork() {
        return otherWork.value();
    }

    /** Whether runs and other work together leave at least part of a core unused. */
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
