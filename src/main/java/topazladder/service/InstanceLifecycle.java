package topazladder.service;

import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The states of one service instance from its start to its exit.
 *
 * <pre>
 * STARTING --listeners opened--> AWAITING_RUNTIME --runtime connected--> SERVING --shutdown--> DRAINING --> STOPPED
 * </pre>
 *
 * <p>A shutdown leads from AWAITING_RUNTIME to DRAINING as well, and from STARTING straight to STOPPED.
 */
public final class InstanceLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceLifecycle.class);

    /** The states, in their order. */
    public enum Phase {
        /** Nobody can connect. */
        STARTING,
        /** Callers can connect, and are rejected. */
        AWAITING_RUNTIME,
        SERVING,
        /** Received requests are answered; new ones are received for as long as there is time for them. */
        DRAINING,
        /** The process ends. */
        STOPPED
    }

    private final String name;
    private final long seed;
    private final double stopAfterSeconds;
    private final DoubleSupplier clock;
    private final RequestDispatcher dispatcher;
    private final Scheduler scheduler;
    private final Runnable onStopped;
    private final GracefulShutdown shutdown;
    private Phase phase = Phase.STARTING;
    private boolean shutdownAnnounced;
    private double servingDelaySeconds;
    private double servingDelayedUntil;
    /** What {@link #resumeServing} starts, once the runtime is connected. */
    private Runnable delayedServing = () -> {};

    /**
     * An instance that is starting.
     *
     * @param name what the log calls it
     * @param seed of the admission controller's random numbers
     * @param stopAfterSeconds from the notice to shut down to the kill
     * @param clock Unix seconds
     * @param onStopped ends the process
     */
    public InstanceLifecycle(String name, long seed, double stopAfterSeconds, DoubleSupplier clock,
            RequestDispatcher dispatcher, ClientConnections connections, Scheduler scheduler, Runnable onStopped) {
        this.name = name;
        this.seed = seed;
        this.stopAfterSeconds = stopAfterSeconds;
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.scheduler = scheduler;
        this.onStopped = onStopped;
        shutdown = new GracefulShutdown(clock, dispatcher, connections, scheduler, this::stop);
    }

    public Phase phase() {
        return phase;
    }

    /** Whether the instance is to be reported as ready to serve. */
    public boolean isReady() {
        return phase == Phase.SERVING && !shutdownAnnounced && dispatcher.isHealthy();
    }

    /** Callers can connect. */
    public void listenersOpened() {
        if (phase == Phase.STARTING) {
            enter(Phase.AWAITING_RUNTIME);
        }
    }

    /**
     * The runtime is connected and up. Called again whenever the link is re-established, which changes nothing.
     *
     * @param cold whether the runtime has not served yet, and warms up
     */
    public void runtimeConnected(boolean cold) {
        if (phase != Phase.AWAITING_RUNTIME) {
            return;
        }
        double remainingSeconds = servingDelayedUntil - clock.getAsDouble();
        if (remainingSeconds <= 0) {
            serve(cold);
            return;
        }
        // No longer than the whole delay: a clock that is set back meanwhile must not keep all callers out.
        scheduler.schedule(Math.min(remainingSeconds, servingDelaySeconds), () -> {
            servingDelaySeconds = 0;
            resumeServing();
        });
        delayedServing = () -> serve(cold);
    }

    private void serve(boolean cold) {
        if (phase == Phase.AWAITING_RUNTIME) {
            enter(Phase.SERVING);
            dispatcher.open(seed, cold);
        }
    }

    /** Serving does not begin for so many seconds from now, unless {@link #resumeServing} comes before. */
    public void delayServing(double seconds) {
        servingDelaySeconds = seconds;
        servingDelayedUntil = clock.getAsDouble() + seconds;
    }

    /** Ends the delay: serving begins now or as soon as the runtime is connected. */
    public void resumeServing() {
        servingDelayedUntil = 0;
        Runnable next = delayedServing;
        delayedServing = () -> {};
        next.run();
    }

    /**
     * A shutdown comes soon: the instance is reported as not ready, so that callers go elsewhere before they have to.
     */
    public void announceShutdown() {
        shutdownAnnounced = true;
    }

    /** Shuts down gracefully. A second notice changes nothing: the kill follows the first. */
    public void shutdown() {
        switch (phase) {
            case SERVING -> {
                enter(Phase.DRAINING);
                shutdown.drain(stopAfterSeconds);
            }
            case AWAITING_RUNTIME -> {
                enter(Phase.DRAINING);
                shutdown.closeConnections(stopAfterSeconds);
            }
            case STARTING -> stop();
            case DRAINING, STOPPED -> {
            }
        }
    }

    private void stop() {
        enter(Phase.STOPPED);
        onStopped.run();
    }

    private void enter(Phase next) {
        LOG.info("instance state changed name={} from={} to={}", name, logged(phase), logged(next));
        phase = next;
    }

    private static String logged(Phase phase) {
        return phase.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
