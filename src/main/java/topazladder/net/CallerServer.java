package topazladder.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import topazladder.config.ServiceSettings.Address;
import topazladder.service.ClientConnections;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.RequestDispatcher;

/**
 * Listens for callers and bounds their connections. Past the bound a vacant connection is evicted for a new one; well
 * before it, those of least value are asked to drain, so that few need be evicted.
 *
 * <p>Invariant: a connection with something open on it is never evicted, and a shutdown resets no caller whose
 * connection the system has accepted.
 */
final class CallerServer implements ClientConnections {
    /** Idle and silent connections are looked for no more often than this, however short they may idle. */
    static final long SWEEP_PERIOD_MILLIS = 100;

    private static final int ACCEPT_BACKLOG = 1024;
    /** Past any time from the notice to the kill: the instance ends before its server does. */
    private static final long MAX_SHUTDOWN_SECONDS = 3600;
    /** Part of the bound past which connections of least value are asked to drain. */
    private static final double HIGH_WATERMARK = 0.7;
    /** Between two requests of a busy caller lies less. */
    private static final double MIN_IDLE_SECONDS = 0.5;
    /** By then a caller that was asked to drain has heard so, and closes by itself if it ever will. */
    private static final double DRAIN_SECONDS = 0.5;
    /** The same in the graceful shutdown, of the 0.6 s that the last call comes before the kill. */
    private static final double SHUTDOWN_DRAIN_SECONDS = 0.25;
    private static final long ACCEPT_GATE_CHECK_MILLIS = 20;
    /** After a pause the sweeps that were missed come at once; none is made within half a period of the last. */
    private static final long MIN_SWEEP_INTERVAL_NANOS = SWEEP_PERIOD_MILLIS * 1_000_000 / 2;
    private static final Comparator<CallerConnection> LEAST_VALUABLE_FIRST =
            Comparator.comparing(CallerConnection::value).thenComparingLong(CallerConnection::lastUsedNanos);

    private final Vertx vertx;
    private final Counters counters;
    private final int maxConnections;
    private final BooleanSupplier acceptGateShut;
    private final NetServer server;
    /** Emptied as connections close. */
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final PartialMessageMemory partialMessages =
            new PartialMessageMemory(Runtime.getRuntime().maxMemory());
    private RequestDispatcher dispatcher;
    private double idleSeconds = Double.POSITIVE_INFINITY;
    private boolean draining;
    private boolean ended;
    private long lastSweepNanos = System.nanoTime();

    /**
     * @param maxConnections at once: the rest of the descriptors is for the other sockets and files
     * @param acceptGateShut whether new connections wait in the system's backlog because of that
     */
    CallerServer(Vertx vertx, int maxConnections, BooleanSupplier acceptGateShut, Counters counters) {
        this.vertx = vertx;
        this.maxConnections = maxConnections;
        this.acceptGateShut = acceptGateShut;
        this.counters = counters;
        server = vertx.createNetServer(new NetServerOptions().setReuseAddress(true).setTcpNoDelay(true)
                .setAcceptBacklog(ACCEPT_BACKLOG));
    }

    Future<NetServer> listen(Address address, RequestDispatcher requestDispatcher) {
        dispatcher = requestDispatcher;
        vertx.setPeriodic(SWEEP_PERIOD_MILLIS, id -> sweep());
        return server.connectHandler(this::connected).listen(address.port(), address.host());
    }

    private void connected(NetSocket socket) {
        boolean full = connections.size() >= maxConnections && !evictOne();
        counters.add(full ? Count.CONNECTIONS_REJECTED : Count.CONNECTIONS_ACCEPTED);
        CallerConnection connection =
                new CallerConnection(vertx, socket, dispatcher, counters, partialMessages, connections::remove);
        connections.add(connection);
        if (full || draining) {
            // Not closed at once: its first request may have come with it, and would be lost. The accept gate holds
            // back whoever comes after the few that there are descriptors for beyond the bound.
            connection.requestDrain();
        }
    }

    /**
     * Evicts the vacant connection of least value: first those on which nothing sound came yet, or hundreds of silent
     * ones would keep all others out; then the one that is idle for longest.
     */
    private boolean evictOne() {
        Optional<CallerConnection> least =
                connections.stream().filter(CallerConnection::isVacant).min(LEAST_VALUABLE_FIRST);
        least.ifPresent(this::evict);
        return least.isPresent();
    }

    private void evict(CallerConnection connection) {
        counters.add(Count.CONNECTIONS_EVICTED);
        connections.remove(connection);
        if (connection.validMessageRead()) {
            connection.closeInOrder(); // a request may be on its way just now
        } else {
            connection.closeNow();
        }
    }

    @Override
    public void closeIdle(double newIdleSeconds) {
        idleSeconds = newIdleSeconds;
    }

    private void sweep() {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastSweepNanos < MIN_SWEEP_INTERVAL_NANOS) {
            return;
        }
        lastSweepNanos = nowNanos;
        List.copyOf(connections).forEach(connection -> sweep(connection, nowNanos));
        long overWatermark = connections.size() - Math.round(maxConnections * HIGH_WATERMARK);
        if (overWatermark > 0) {
            connections.stream().filter(CallerConnection::isVacant).sorted(LEAST_VALUABLE_FIRST).limit(overWatermark)
                    .toList()
                    .forEach(connection -> connection.closeIfIdle(MIN_IDLE_SECONDS, DRAIN_SECONDS, nowNanos));
        }
    }

    private void sweep(CallerConnection connection, long nowNanos) {
        connection.closeIfMessageOverdue();
        if (draining) {
            connection.closeIfIdle(0, SHUTDOWN_DRAIN_SECONDS, nowNanos);
        } else if (idleSeconds < Double.POSITIVE_INFINITY) {
            connection.closeIfIdle(idleSeconds, DRAIN_SECONDS, nowNanos);
        }
    }

    @Override
    public void stopAccepting() {
        draining = true;
        new ArrayList<>(connections).forEach(CallerConnection::requestDrain);
        stopListening(true);
    }

    /**
     * Whoever the system has accepted for this server already would be reset with its request unread: where the accept
     * gate holds new connections back, they are taken first, as others close.
     *
     * @param wasOpen whether the gate was open a check ago: who was held back needs a moment to come in
     */
    private void stopListening(boolean wasOpen) {
        boolean open = !acceptGateShut.getAsBoolean();
        if (!ended && !(open && wasOpen)) {
            vertx.setTimer(ACCEPT_GATE_CHECK_MILLIS, id -> stopListening(open));
        } else {
            // Closed outright, the server would close the open requests of all its connections.
            server.shutdown(MAX_SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Dispatches nothing that comes from here on; what was written goes out before the connections end. */
    void end() {
        ended = true;
        new ArrayList<>(connections).forEach(CallerConnection::closeInOrder);
    }

    @Override
    public int openConnections() {
        return connections.size();
    }
}
