package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.RuntimeLines;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;

/**
 * The one connection to the runtime that is in use, taken anew with backoff whenever it is lost, and its hand-over to a
 * new one as the runtime moves.
 *
 * <p>Invariant: one connection is in use at a time, and nothing is read from any other. A connection in use is left for
 * a new one only once all commands on it are shown to be read, or after a bound.
 */
final class RuntimeConnection {
    private static final Logger LOG = LoggerFactory.getLogger(RuntimeConnection.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** The answer to a question takes a few milliseconds, unless the connection is worth nothing any more. */
    private static final long HAND_OVER_MILLIS = 200;

    /** Told on the event loop what becomes of the connection in use. */
    interface Listener {
        /** A new connection is in use, and nothing was written on it. */
        void opened();

        /** Bytes came on it, whole lines or not. */
        void bytesReceived();

        /** One line came on it. */
        void received(LineReader.Line line) throws MalformedMessageException;

        /**
         * It is gone.
         *
         * @param closed whether this side closed it for good
         */
        void lost(boolean closed);

        /** Whether commands were written on it that are not shown to be read. */
        boolean hasUnacknowledgedCommands();

        /** It is to be left: the runtime is to show what it has read. */
        void acknowledgementWanted();
    }

    private final Vertx vertx;
    private final Counters counters;
    private final Listener listener;
    private final NetClient client;
    private final Backoff backoff = new Backoff();
    private Address address;
    private int attempt; // the latest connect or wait for one; whatever an earlier one leads to is dropped
    private NetSocket socket; // in use, or null while there is none
    private NetSocket successor; // or null; takes its place as soon as all commands are acknowledged
    private LineReader reader;
    private boolean closed;

    RuntimeConnection(Vertx vertx, Address address, Counters counters, Listener listener) {
        this.vertx = vertx;
        this.address = address;
        this.counters = counters;
        this.listener = listener;
        client = vertx.createNetClient(
                new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    boolean isOpen() {
        return socket != null;
    }

    boolean isClosed() {
        return closed;
    }

    boolean isHandingOver() {
        return successor != null;
    }

    /** The runtime is up, so that the next reconnect need not wait. */
    void resetBackoff() {
        backoff.reset();
    }

    void moveTo(Address newAddress) {
        address = newAddress;
        backoff.reset();
    }

    Address address() {
        return address;
    }

    /** Closes it for good. */
    void close() {
        closed = true;
        if (successor != null) {
            successor.close();
        }
        if (socket != null) {
            socket.close();
        }
    }

    /** Writes on the connection in use; dropped while there is none. */
    void write(byte[] bytes) {
        if (socket != null) {
            socket.write(Buffer.buffer(bytes));
        }
    }

    /** Makes a new connection, which takes the place of the one in use. */
    void connect() {
        int thisAttempt = ++attempt;
        client.connect(address.port(), address.host()).onComplete(connected -> {
            if (thisAttempt == attempt && !closed) {
                connected(connected);
            } else {
                connected.close();
            }
        }, e -> {
            if (thisAttempt == attempt) {
                reconnect();
            }
        });
    }

    private void reconnect() {
        if (closed) {
            return;
        }
        int thisAttempt = ++attempt;
        vertx.setTimer(backoff.nextDelayMillis(), id -> {
            if (thisAttempt == attempt) {
                connect();
            }
        });
    }

    /**
     * A connection in use is left once the runtime has shown to have read all that was written on it: of a start that
     * is in doubt, nobody could tell whether it ran. One that is silent or stalled is left all the same.
     */
    private void connected(NetSocket connected) {
        if (successor != null) {
            successor.close();
        }
        successor = null;
        if (!listener.hasUnacknowledgedCommands()) {
            use(connected);
            return;
        }
        successor = connected;
        connected.exceptionHandler(e -> connected.close());
        connected.closeHandler(v -> successorClosed(connected));
        listener.acknowledgementWanted();
        vertx.setTimer(HAND_OVER_MILLIS, id -> handOver(connected));
    }

    private void successorClosed(NetSocket gone) {
        if (successor == gone) {
            successor = null;
            reconnect();
        }
    }

    /** All commands on the connection in use are acknowledged: its successor takes its place, if there is one. */
    void handOver() {
        handOver(successor);
    }

    private void handOver(NetSocket to) {
        if (successor != null && successor == to && !closed) {
            successor = null;
            use(to);
        }
    }

    private void use(NetSocket next) {
        NetSocket previous = socket;
        socket = next;
        if (previous != null) {
            previous.close();
        }
        reader = RuntimeLines.reader();
        next.handler(bytes -> read(next, bytes));
        next.exceptionHandler(e -> next.close());
        next.closeHandler(v -> lost(next));
        listener.opened();
    }

    private void lost(NetSocket gone) {
        if (socket != gone) {
            return;
        }
        socket = null;
        listener.lost(closed);
        if (successor != null) {
            handOver(successor);
        } else {
            reconnect();
        }
    }

    private void read(NetSocket from, Buffer bytes) {
        if (socket != from) {
            // A connection that was left with bytes unsent is still open: what comes late on it would tear a line here.
            return;
        }
        listener.bytesReceived();
        try {
            reader.feed(bytes.getBytes());
            for (LineReader.Line line = reader.next(); line != null && socket == from; line = reader.next()) {
                listener.received(line);
            }
        } catch (MalformedMessageException e) {
            counters.add(Count.LINES_MALFORMED);
            LOG.warn("runtime line malformed reason=\"{}\"", e.getMessage());
            from.close();
        }
    }
}
