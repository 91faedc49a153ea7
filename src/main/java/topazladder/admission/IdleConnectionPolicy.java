package topazladder.admission;

import topazladder.request.Decision;

/**
 * Whether idle connections of callers are closed at once or kept for as long as the settings allow. Callers that come
 * back later than a connection may idle never use it again: closed, it makes room for others. But each new connection
 * costs a handshake, so where handshakes crowd the cores all are kept.
 *
 * <p>Closing begins where more callers are known than come back within the longest idle time, and cores have idled for
 * some time; it ends once newcomers crowd the cores. The two bounds lie apart, as a change costs both a handshake and a
 * place.
 */
final class IdleConnectionPolicy {
    /** The gauge of core use is an average over this time. */
    private static final double UPDATE_SECONDS = 0.5;
    /** Long enough that it is more than a lull. */
    private static final int CORE_USE_WINDOW_UPDATES = 10;
    private static final double IDLE_CORE_USE = 0.6;
    private static final int NEWCOMERS_WINDOW_UPDATES = 4;
    /** More than a read and a handshake on each core. */
    private static final double MAX_NEWCOMERS_PER_CORE = 2;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final ConcurrencyLimiter cores;
    private final ExponentialMean newcomers = new ExponentialMean(NEWCOMERS_WINDOW_UPDATES);
    private final ExponentialMean coreUse = new ExponentialMean(CORE_USE_WINDOW_UPDATES);
    private boolean closing;
    private double nextUpdateAt = AdmissionContext.START_SECONDS;

    IdleConnectionPolicy(AdmissionContext context, WorkloadStatistics statistics, ConcurrencyLimiter cores) {
        this.context = context;
        this.statistics = statistics;
        this.cores = cores;
    }

    void tick(RuntimeGauges gauges) {
        if (context.now() < nextUpdateAt) {
            return;
        }
        nextUpdateAt = context.now() + UPDATE_SECONDS;
        coreUse.add(gauges.coreUse(), context.now());
        newcomers.add(cores.otherWork(), context.now());
        boolean close = shouldClose();
        if (close != closing) {
            closing = close;
            context.emit(new Decision.CloseIdleConnections(
                    closing ? context.tickSeconds() : context.settings().maxConnectionIdleSeconds()));
        }
    }

    private boolean shouldClose() {
        AdmissionSettings settings = context.settings();
        double returningCallers = statistics.readRate() * settings.maxConnectionIdleSeconds();
        return settings.callers() > returningCallers
                && newcomers.value() <= MAX_NEWCOMERS_PER_CORE * settings.cores()
                && (closing || coreUse.value() < IDLE_CORE_USE);
    }
}
