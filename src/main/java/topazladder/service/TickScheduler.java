package topazladder.service;

import java.util.List;
import java.util.function.DoubleSupplier;
import topazladder.admission.RuntimeGauges;
import topazladder.service.Counters.Count;

/**
 * Ticks the admission controller when it has asked for that, with the runtime's gauges of that moment; where none come
 * within half of the delay, with the last ones.
 */
final class TickScheduler {
    /** Of the delay until a tick, so long after it gauges are waited for. */
    private static final double GAUGE_WAIT_SHARE = 0.5;

    private final DoubleSupplier clock;
    private final Scheduler scheduler;
    private final RuntimePort runtime;
    private final List<String> gaugeNames;
    private final IdempotencyStore idempotencyStore;
    private final StartedRequestIds startedRequestIds;
    private final double longestDeadlineSeconds;
    private final AdmissionEventQueue events;
    private final Counters counters;
    private RuntimeGauges gauges = RuntimeGauges.NONE;
    private boolean awaitingGauges;
    private boolean scheduled;
    private double delaySeconds;

    /** Sweeps what is remembered of runs as well, at each tick. */
    TickScheduler(DoubleSupplier clock, Scheduler scheduler, RuntimePort runtime, List<String> gaugeNames,
            IdempotencyStore idempotencyStore, StartedRequestIds startedRequestIds, double longestDeadlineSeconds,
            AdmissionEventQueue events, Counters counters) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.runtime = runtime;
        this.gaugeNames = gaugeNames;
        this.idempotencyStore = idempotencyStore;
        this.startedRequestIds = startedRequestIds;
        this.longestDeadlineSeconds = longestDeadlineSeconds;
        this.events = events;
        this.counters = counters;
    }

    RuntimeGauges gauges() {
        return gauges;
    }

    /** Ticks once, after so many seconds and however long the gauges take. */
    void scheduleIn(double seconds) {
        scheduled = true;
        delaySeconds = seconds;
        scheduler.schedule(seconds, this::requestGauges);
    }

    private void requestGauges() {
        startedRequestIds.sweep(clock.getAsDouble());
        if (idempotencyStore.size() > 0) {
            idempotencyStore.sweep(clock.getAsDouble(), longestDeadlineSeconds);
        }
        awaitingGauges = true;
        runtime.requestGauges();
        scheduler.schedule(delaySeconds * GAUGE_WAIT_SHARE, () -> {
            if (awaitingGauges) {
                counters.add(Count.GAUGES_MISSED);
                tick();
            }
        });
    }

    /** The runtime reported its gauges, in the order of their names. */
    void gaugesReceived(double[] values) {
        counters.add(Count.GAUGES_READ);
        gauges = RuntimeGauges.of(gaugeNames, values);
        if (awaitingGauges) {
            tick();
        }
    }

    /** The last gauges say nothing any more; without any the controller goes by its own counts. */
    void runtimeDisconnected() {
        gauges = RuntimeGauges.NONE;
    }

    private void tick() {
        awaitingGauges = false;
        scheduled = false;
        events.submit((controller, now) -> controller.tick(now, gauges));
        if (!scheduled && !events.isProcessing()) {
            // After an internal error: without ticks no request would be answered by its deadline any more.
            scheduleIn(delaySeconds);
        }
    }
}
