package topazladder.service;

import java.util.function.DoubleSupplier;

/**
 * Ends an instance in order before it is killed: requests are received as long as the admission controller has time for
 * them, then all that were received are answered and the connections closed.
 */
final class GracefulShutdown {
    /** Kept of the time before the kill, so that the last responses are out and the process has ended by then. */
    private static final double MARGIN_SECONDS = 0.2;
    /** So long before the kill the admission controller is done. */
    private static final double DRAINED_BEFORE_KILL_SECONDS = 2 * MARGIN_SECONDS;
    /** So long before the kill nothing new is accepted. */
    private static final double LAST_REQUEST_BEFORE_KILL_SECONDS = 3 * MARGIN_SECONDS;
    /** So long before the kill the instance stops, whatever is open. */
    private static final double STOP_BEFORE_KILL_SECONDS = MARGIN_SECONDS / 2;
    private static final double CHECK_INTERVAL_SECONDS = MARGIN_SECONDS / 10;

    private final DoubleSupplier clock;
    private final RequestDispatcher dispatcher;
    private final ClientConnections connections;
    private final Scheduler scheduler;
    private final Runnable onFinished;
    private double killAt;
    private boolean accepting = true;

    /** Calls back once, when the instance is to stop. */
    GracefulShutdown(DoubleSupplier clock, RequestDispatcher dispatcher, ClientConnections connections,
            Scheduler scheduler, Runnable onFinished) {
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.connections = connections;
        this.scheduler = scheduler;
        this.onFinished = onFinished;
    }

    /** Begins for an instance that serves. */
    void drain(double secondsUntilKill) {
        killAt = clock.getAsDouble() + secondsUntilKill;
        dispatcher.drain(Math.max(0, secondsUntilKill - DRAINED_BEFORE_KILL_SECONDS));
        check();
    }

    /** Begins for an instance that has run nothing: whoever is connected may be writing, and is told before the end. */
    void closeConnections(double secondsUntilKill) {
        killAt = clock.getAsDouble() + Math.min(secondsUntilKill, LAST_REQUEST_BEFORE_KILL_SECONDS);
        check();
    }

    private void check() {
        double remainingSeconds = killAt - clock.getAsDouble();
        if (accepting && remainingSeconds <= LAST_REQUEST_BEFORE_KILL_SECONDS) {
            accepting = false;
            connections.stopAccepting();
        }
        boolean settled =
                !accepting && dispatcher.unansweredRequests() == 0 && connections.openConnections() == 0;
        if (settled || remainingSeconds <= STOP_BEFORE_KILL_SECONDS) {
            onFinished.run();
        } else {
            scheduler.schedule(CHECK_INTERVAL_SECONDS, this::check);
        }
    }
}
