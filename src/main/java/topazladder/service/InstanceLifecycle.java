package topazladder.service;

import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One real service instance from its start to its exit. */
public final class InstanceLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceLifecycle.class);
    /** Kept of the time before the kill, so that the last answers are out and the process is over by then. */
    private static final double CLEARING = 0.2;

    public enum Phase { STARTING, AWAITING_RUNTIME, SERVING, DRAINING, STOPPED }

    private final String name;
    private final long seed;
    private final double stopAfter;
    private final DoubleSupplier clock;
    private final RequestDispatcher dispatcher;
    private final Callers callers;
    private final Timers timers;
    private final Runnable exit;
    private Phase phase = Phase.STARTING;
    private double killAt;
    private boolean lastCall;
    private boolean leaves;
    private double held;
    private double heldUntil;
    private Runnable waiting = () -> {};

    public InstanceLifecycle(String name, long seed, double stopAfter, DoubleSupplier clock,
            RequestDispatcher dispatcher, Callers callers, Timers timers, Runnable exit) {
        this.name = name;
        this.seed = seed;
        this.stopAfter = stopAfter;
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.callers = callers;
        this.timers = timers;
        this.exit = exit;
    }

    public Phase phase() {
        return phase;
    }

    /** Whether it is to be reported as ready. */
    public boolean ready() {
        return phase == Phase.SERVING && !leaves && dispatcher.isHealthy();
    }

    public void listenersOpened() {
        if (phase == Phase.STARTING) {
            enter(Phase.AWAITING_RUNTIME);
        }
    }

    /** Told again whenever the link is taken anew, which changes nothing. */
    public void runtimeConnected(boolean cold) {
        if (phase == Phase.AWAITING_RUNTIME) {
            double left = heldUntil - clock.getAsDouble();
            if (left > 0) {
                // At most so long: a clock that is set back meanwhile must not keep all callers out.
                timers.in(Math.min(left, held), () -> {
                    held = 0;
                    resumeServing();
                });
                waiting = () -> serve(cold);
            } else {
                serve(cold);
            }
        }
    }

    private void serve(boolean cold) {
        if (phase == Phase.AWAITING_RUNTIME) {
            enter(Phase.SERVING);
            dispatcher.open(seed, cold);
        }
    }

    /** Serving does not begin for so many seconds from now, unless it is released before. */
    public void delayServing(double seconds) {
        held = seconds;
        heldUntil = clock.getAsDouble() + seconds;
    }

    public void resumeServing() {
        heldUntil = 0;
        Runnable next = waiting;
        waiting = () -> {};
        next.run();
    }

    /** It will leave soon: reported as not ready, so that callers go elsewhere before they have to. */
    public void announceShutdown() {
        leaves = true;
    }

    /** A second notice changes nothing: the kill follows the first. */
    public void shutdown() {
        if (phase == Phase.SERVING) {
            enter(Phase.DRAINING);
            killAt = clock.getAsDouble() + stopAfter;
            dispatcher.drain(Math.max(0, stopAfter - 2 * CLEARING));
            clear();
        } else if (phase == Phase.AWAITING_RUNTIME) {
            // Nothing ran and nothing is owed, but whoever is connected may be writing: told before it is closed.
            enter(Phase.DRAINING);
            killAt = clock.getAsDouble() + Math.min(stopAfter, 3 * CLEARING);
            clear();
        } else if (phase != Phase.DRAINING) {
            stop();
        }
    }

    /** New requests are taken as long as the module has time for them; then all that was read is answered. */
    private void clear() {
        double left = killAt - clock.getAsDouble();
        if (!lastCall && left <= 3 * CLEARING) {
            lastCall = true;
            callers.lastCall();
        }
        if (lastCall && dispatcher.unansweredRequests() == 0 && callers.connections() == 0 || left <= CLEARING / 2) {
            stop();
        } else if (phase == Phase.DRAINING) {
            timers.in(CLEARING / 10, this::clear);
        }
    }

    private void stop() {
        if (phase != Phase.STOPPED) {
            enter(Phase.STOPPED);
            exit.run();
        }
    }

    private void enter(Phase next) {
        LOG.info("{} is {} after {}", name, words(next), words(phase));
        phase = next;
    }

    private static String words(Phase phase) {
        return phase.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
