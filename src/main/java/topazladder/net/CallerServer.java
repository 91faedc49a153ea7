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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import topazladder.config.ServiceSettings.Address;
import topazladder.service.ClientConnections;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.RequestDispatcher;

/** Listens for callers and keeps their connections, so many and no more. */
final class CallerServer implements ClientConnections {
    /** Looks for idle connections no more often than this, however short they may idle. */
    static final long LEAST_SWEEP_MS = 100;

    /** Past any time from the notice to the kill: the instance ends before its server does. */
    private static final long LONGEST_SHUTDOWN_S = 3600;

    /** Past this part of the table those of least use are asked to leave, so that none need be cut. */
    private static final double FILLED = 0.7;
    /** Seconds: between two requests of a busy caller lies less. */
    private static final double LEAST_IDLE = 0.5;
    /** Seconds: by then a caller that was told of the last call has heard it, and closes by itself if it ever will. */
    private static final double TOLD = 0.5;
    /** The same as the instance leaves, of the 0.6 that the last call comes before the kill. */
    private static final double TOLD_AT_LAST = 0.25;
    private static final long LOOK_MS = 20;
    private static final Comparator<CallerConnection> LEAST_FIRST =
            Comparator.comparingInt(CallerConnection::standing).thenComparingLong(CallerConnection::lastUsed);

    private final Vertx vertx;
    private final Counters counters;
    private final int most;
    private final BooleanSupplier heldBack;
    private final NetServer server;
    /** One a connection; emptied as they close. */
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private RequestDispatcher dispatcher;
    private double idle = Double.POSITIVE_INFINITY;
    private boolean lastCall;
    private boolean ended;
    private long lastSweep = System.nanoTime();

    /**
     * @param most connections at once: the rest of the descriptors is for the other sockets and files
     * @param heldBack whether newcomers are waiting in the system's hands because of that
     */
    CallerServer(Vertx vertx, int most, BooleanSupplier heldBack, Counters counters) {
        this.vertx = vertx;
        this.most = most;
        this.heldBack = heldBack;
        this.counters = counters;
        server = vertx.createNetServer(new NetServerOptions().setReuseAddress(true).setTcpNoDelay(true)
                .setAcceptBacklog(1024));
    }

    Future<NetServer> listen(Address at, RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
        vertx.setPeriodic(LEAST_SWEEP_MS, id -> sweep());
        return server.connectHandler(this::connected).listen(at.port(), at.host());
    }

    private void connected(NetSocket socket) {
        boolean full = connections.size() >= most && !makeRoom();
        counters.add(full ? Count.CONNECTIONS_REJECTED : Count.CONNECTIONS_ACCEPTED);
        CallerConnection c = new CallerConnection(vertx, socket, dispatcher, counters, this::closed);
        connections.add(c);
        if (full || lastCall) {
            // Not closed at once: its first request may have come with it, and would be lost. The gate holds back who
            // comes after the few that there is room for beyond the table.
            c.lastCall();
        }
    }

    /**
     * Whoever holds a connection with nothing open on it gives way to whoever comes: first those that have asked for
     * nothing sound yet, or hundreds that say nothing would keep all others out; then the one idle for longest.
     */
    private boolean makeRoom() {
        CallerConnection least = connections.stream().filter(CallerConnection::vacant).min(LEAST_FIRST).orElse(null);
        if (least != null) {
            counters.add(Count.CONNECTIONS_EVICTED);
            connections.remove(least);
            if (least.proven()) {
                least.hangUp(); // a request may be on its way just now
            } else {
                least.cut();
            }
        }
        return least != null;
    }

    private void closed(CallerConnection c) {
        connections.remove(c);
    }

    @Override
    public void closeIdle(double seconds) {
        idle = seconds;
    }

    private void sweep() {
        long now = System.nanoTime();
        if (now - lastSweep < LEAST_SWEEP_MS * 500_000) {
            return; // after a pause those that were missed come all at once, before anything is read
        }
        lastSweep = now;
        List.copyOf(connections).forEach(c -> {
            c.closeIfDumb();
            if (lastCall) {
                c.closeIfIdle(0, TOLD_AT_LAST, now);
            } else if (idle < Double.POSITIVE_INFINITY) {
                c.closeIfIdle(idle, TOLD, now);
            }
        });
        long tooMany = connections.size() - Math.round(most * FILLED);
        if (tooMany > 0) {
            connections.stream().filter(CallerConnection::vacant).sorted(LEAST_FIRST).limit(tooMany).toList()
                    .forEach(c -> c.closeIfIdle(LEAST_IDLE, TOLD, now));
        }
    }

    @Override
    public void stopAccepting() {
        lastCall = true;
        new ArrayList<>(connections).forEach(CallerConnection::lastCall);
        stopListening(true);
    }

    /**
     * Whoever the system has taken for this server already would be reset with its request unread: where the gate holds
     * newcomers back, they are let in first, as those in there leave.
     *
     * @param wasOpen whether the gate was open a look ago: who was held back needs a moment to come in
     */
    private void stopListening(boolean wasOpen) {
        boolean open = !heldBack.getAsBoolean();
        if (!ended && !(open && wasOpen)) {
            vertx.setTimer(LOOK_MS, id -> stopListening(open));
        } else {
            // Closed outright, the server would cut the open requests of all its connections.
            server.shutdown(LONGEST_SHUTDOWN_S, TimeUnit.SECONDS);
        }
    }

    /** Nothing that comes from here on is passed on; what was written goes out before the connections end. */
    void end() {
        ended = true;
        new ArrayList<>(connections).forEach(CallerConnection::hangUp);
    }

    @Override
    public int openConnections() {
        return connections.size();
    }
}
