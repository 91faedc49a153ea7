package topazladder.admission;

import topazladder.request.Decision;

/**
 * Decides whether idle connections of callers are closed at once or kept for the longest idle time that the settings
 * allow. A caller that returns only after that time never reuses its connection, so closing it early makes room for
 * other connections. Each new connection costs a handshake, however, so connections are kept while handshakes load the
 * cores.
 *
 * <p>Early closing begins when the fleet has more callers than return within the longest idle time and the cores have
 * been partly idle for some time. It ends when reads and handshakes load the cores. The two conditions are deliberately
 * apart, which keeps the policy from alternating, as each change costs handshakes and connection slots.
 */
final class IdleConnectionPolicy {
    /** Averaging period of the core use gauge. */
    private static final double UPDATE_SECONDS = 0.5;
    /** 5 seconds, long enough to ignore a momentary dip of the load. */
    private static final int CORE_USE_WINDOW_UPDATES = 10;
    /** Mean core use below which the cores count as partly idle. */
    private static final double IDLE_CORE_USE = 0.6;
    private static final int OTHER_WORK_WINDOW_UPDATES = 4;
    /** Two per core is more than one read and one handshake on each core at a time. */
    private static final double MAX_OTHER_WORK_PER_CORE = 2;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final ConcurrencyLimiter concurrencyLimiter;
    /** Mean number of reads, health checks and handshakes that need a core. */
    private final ExponentialMean otherWork = new ExponentialMean(OTHER_WORK_WINDOW_UPDATES);
    private final ExponentialMean coreUse = new ExponentialMean(CORE_USE_WINDOW_UPDATES);
    private boolean closing;
    private double nextUpdateAt = AdmissionContext.STARTUP_SECONDS;

    IdleConnectionPolicy(AdmissionContext context, WorkloadStatistics statistics,
            ConcurrencyLimiter concurrencyLimiter) {
        this.context = context;
        this.statistics = statistics;
        this.concurrencyLimiter = concurrencyLimiter;
    }

    void tick(RuntimeGauges gauges) {
        if (context.now() < nextUpdateAt) {
            return;
        }
        nextUpdateAt = context.now() + UPDATE_SECONDS;
        coreUse.add(gauges.coreUse(), context.now());
        otherWork.add(concurrencyLimiter.otherWork(), context.now());
        boolean shouldClose = shouldClose();
        if (shouldClose != closing) {
            closing = shouldClose;
            context.emit(new Decision.CloseIdleConnections(
                    closing ? context.tickSeconds() : context.settings().maxConnectionIdleSeconds()));
        }
    }

    private boolean shouldClose() {
        AdmissionSettings settings = context.settings();
        double returningCallers = statistics.readRate() * settings.maxConnectionIdleSeconds();
        return settings.callers() > returningCallers
                && otherWork.value() <= MAX_OTHER_WORK_PER_CORE * settings.cores()
                && (closing || coreUse.value() < IDLE_CORE_USE);
    }
}
