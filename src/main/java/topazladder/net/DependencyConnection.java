package topazladder.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.codec.DependencyLines;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;

/**
 * One connection to the dependency, also while it is being made.
 *
 * <p>Invariant: at most one call is on it, so that a malformed reply costs no other call.
 */
final class DependencyConnection {

    /** Told on the event loop what becomes of a connection. */
    interface Listener {
        void connected(DependencyConnection connection);

        /** Nothing was written on it. */
        void refused(DependencyConnection connection);

        void replied(DependencyConnection connection, DependencyLines.Reply reply);

        /** It ended, or is to end; may be told more than once. */
        void ended(DependencyConnection connection);
    }

    private final int endpoint;
    private final Address address;
    private final Listener listener;
    private final Counters counters;
    private final LineReader reader = DependencyLines.reader();
    private DependencyCall call; // null while it carries none
    private NetSocket socket; // null until it is connected
    private String lastReference = "";
    private long lastUsedNanos = System.nanoTime();

    /** @param first the call that it is made for */
    DependencyConnection(Address address, DependencyCall first, Listener listener, Counters counters) {
        this.address = address;
        this.listener = listener;
        this.counters = counters;
        call = first;
        endpoint = first.endpoint();
        first.attach(this);
    }

    int endpoint() {
        return endpoint;
    }

    Address address() {
        return address;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    /** Whether no call is on it. */
    boolean isFree() {
        return call == null;
    }

    /** Whether it may carry the call: a late copy of a reply must not meet another call of the same request. */
    boolean suits(DependencyCall next) {
        return !lastReference.equals(next.reference()) && endpoint == next.endpoint();
    }

    void connect(NetClient client) {
        client.connect(address.port(), address.host())
                .onComplete(this::connected, e -> listener.refused(this));
    }

    private void connected(NetSocket connected) {
        socket = connected;
        connected.handler(this::read);
        connected.exceptionHandler(e -> connected.close());
        connected.closeHandler(v -> listener.ended(this));
        listener.connected(this);
    }

    /** Takes the call off it, if there is one; returns null if not. */
    DependencyCall takeCall() {
        DependencyCall taken = call;
        call = null;
        return taken;
    }

    /** Writes a call on it. */
    void carry(DependencyCall next) {
        call = next;
        next.attach(this);
        next.markWritten();
        lastReference = next.reference();
        lastUsedNanos = System.nanoTime();
        socket.write(Buffer.buffer(next.encoded()));
    }

    /** Closes it, and ends the call on it; one that is being made is closed once it is connected. */
    void close() {
        if (socket != null) {
            socket.close();
            listener.ended(this);
        }
    }

    private void read(Buffer bytes) {
        try {
            reader.feed(bytes.getBytes());
            for (LineReader.Line line = reader.next(); line != null; line = reader.next()) {
                read(DependencyLines.reply(line));
            }
            if (call == null && !reader.isEmpty()) {
                throw new MalformedMessageException("the start of another reply");
            }
        } catch (MalformedMessageException e) {
            counters.add(Count.REPLIES_MALFORMED);
            close();
        }
    }

    private void read(DependencyLines.Reply reply) throws MalformedMessageException {
        if (call == null) {
            throw new MalformedMessageException("more than one reply");
        }
        if (reply.reference().equals(call.reference())) {
            lastUsedNanos = System.nanoTime();
            listener.replied(this, reply);
        } else {
            counters.add(Count.REPLIES_UNEXPECTED);
        }
    }
}
