package topazladder.net.cluster;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import topazladder.cluster.ClusterMessage;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;
import topazladder.net.codec.PeerFrames.Frame;
import topazladder.net.codec.PeerFrames.Seal;
import topazladder.net.codec.PeerFrames.Type;

/**
 * The server side of the links between members: receives messages on connections that other members opened. Each frame
 * carries the next sequence number and a MAC over it, so that none is replayed, left out or reordered. A connection
 * that breaks this is closed; its client may open another.
 */
public final class InboundLinks {
    /** Beyond this number of connections the one that has been silent for longest is closed. */
    static final int MAX_CONNECTIONS = 96;
    /** Largest message, in bytes, that may come in several frames. */
    static final int MAX_MESSAGE_BYTES = 1 << 20;
    private static final long IDLE_TIMEOUT_MS = 15_000;
    private static final long ACK_INTERVAL_MS = 300;
    /** Sequence numbers of frames to the client are shifted by so many bits; the bits below count frames to come. */
    private static final int REMAINING_FRAMES_BITS = 8;
    private static final int MAX_REMAINING_FRAMES = 255;

    /** Receives the messages. */
    public interface Listener {

        /** @param replyChannel to the sender, on the same connection */
        void received(String from, ClusterMessage message, ReplyChannel replyChannel);
    }

    /** Sends to a client that has no address of its own. Messages sent after the connection has ended are lost. */
    public interface ReplyChannel {

        void reply(ClusterMessage message);
    }

    private final Vertx vertx;
    private final Listener listener;
    private final Runnable onProtocolError;
    private final LinkTraffic memberTraffic;
    private final long sweepTimer;
    private final Set<Session> sessions = new LinkedHashSet<>(); // the one that has been silent for longest is first

    /** @param onProtocolError is run for each connection that is closed because of what came on it */
    InboundLinks(Vertx vertx, Listener listener, Runnable onProtocolError, LinkTraffic memberTraffic) {
        this.memberTraffic = memberTraffic;
        this.vertx = vertx;
        this.listener = listener;
        this.onProtocolError = onProtocolError;
        sweepTimer = vertx.setPeriodic(ACK_INTERVAL_MS, id -> sweep());
    }

    /**
     * Takes over a connection whose greeting was authenticated.
     *
     * @param reader holds what was received behind the greeting
     */
    public void accept(NetSocket socket, Seal seal, byte[] greeting, PeerFrames.Reader reader)
            throws MalformedMessageException {
        String from = GreetingCodec.identity(greeting).name();
        Session session = new Session(socket, seal, from, reader,
                GreetingCodec.OPERATOR.equals(from) ? new LinkTraffic() : memberTraffic);
        sessions.add(session);
        session.countHandshake(greeting);
        if (sessions.size() > MAX_CONNECTIONS) {
            // Voters' connections are spared: however many members poll, consensus messages must come through.
            sessions.stream().filter(s -> !s.carriesConsensus).findFirst().orElse(sessions.iterator().next()).end();
        }
        socket.handler(more -> {
            reader.feed(more.getBytes());
            session.read();
        });
        socket.closeHandler(v -> sessions.remove(session));
        session.read();
    }

    void close() {
        vertx.cancelTimer(sweepTimer);
        Set.copyOf(sessions).forEach(Session::end);
    }

    /** Closes idle connections, and acknowledges what came on the others. */
    private void sweep() {
        long now = System.nanoTime();
        for (Iterator<Session> i = Set.copyOf(sessions).iterator(); i.hasNext();) {
            Session session = i.next();
            if (now - session.lastReceivedAt > IDLE_TIMEOUT_MS * 1_000_000) {
                session.end();
            } else {
                session.acknowledge();
            }
        }
    }

    private final class Session implements ReplyChannel {
        private final NetSocket socket;
        private final Seal seal;
        private final String from;
        private final PeerFrames.Reader reader;
        private final LinkTraffic traffic;
        private final ByteArrayOutputStream parts = new ByteArrayOutputStream();
        private int nextSequence = 1;
        private int lastAcknowledged;
        private int lastReplySequence;
        private boolean carriesConsensus;
        private long lastReceivedAt = System.nanoTime();

        Session(NetSocket socket, Seal seal, String from, PeerFrames.Reader reader, LinkTraffic traffic) {
            this.traffic = traffic;
            this.socket = socket;
            this.seal = seal;
            this.from = from;
            this.reader = reader;
        }

        /** The handshake was done before: this side sent a nonce, and the client sent its greeting. */
        private void countHandshake(byte[] greeting) {
            traffic.sent(PeerFrames.sizeOnWire(PeerFrames.NONCE));
            traffic.received(PeerFrames.sizeOnWire(greeting.length));
            traffic.connectionTaken();
        }

        private void write(byte[] frame) {
            traffic.sent(frame.length);
            socket.write(Buffer.buffer(frame));
        }

        void read() {
            try {
                for (Frame frame = reader.next(); frame != null; frame = reader.next()) {
                    if (!sessions.contains(this)) {
                        return;
                    }
                    handle(frame);
                }
            } catch (MalformedMessageException e) {
                onProtocolError.run();
                end();
            }
        }

        private void handle(Frame frame) throws MalformedMessageException {
            if (frame.number() != nextSequence || !seal.holds(frame) || frame.type() != Type.SAY
                    && frame.type() != Type.SAY_PART) {
                throw new MalformedMessageException("frame of type " + frame.type() + " with sequence number "
                        + frame.number() + " from " + from + "; it should be a message with sequence number "
                        + nextSequence + " and a valid MAC");
            }
            nextSequence++;
            traffic.received(PeerFrames.sizeOnWire(frame.payload().length));
            lastReceivedAt = System.nanoTime();
            sessions.remove(this);
            sessions.add(this);
            if (parts.size() + frame.payload().length > MAX_MESSAGE_BYTES) {
                throw new MalformedMessageException("a message from " + from + " of more than " + MAX_MESSAGE_BYTES
                        + " bytes");
            }
            if (frame.type() == Type.SAY_PART) {
                parts.writeBytes(frame.payload());
                return;
            }
            byte[] whole = frame.payload();
            if (parts.size() > 0) {
                parts.writeBytes(whole);
                whole = parts.toByteArray();
                parts.reset();
            }
            ClusterMessage message = HallMessages.saying(whole);
            if (message != null) {
                carriesConsensus |= message instanceof ClusterMessage.Consensus;
                listener.received(from, message, this);
            }
        }

        private void acknowledge() {
            if (lastAcknowledged != nextSequence - 1 && !socket.writeQueueFull()) {
                lastAcknowledged = nextSequence - 1;
                write(seal.frame(Type.HEARD, lastAcknowledged, new byte[0]));
            }
        }

        @Override
        public void reply(ClusterMessage message) {
            byte[] bytes = HallMessages.bytes(message);
            for (int at = 0; at < bytes.length || at == 0; at += PeerFrames.LONGEST) {
                int to = Math.min(bytes.length, at + PeerFrames.LONGEST);
                int remainingFrames = (bytes.length - to + PeerFrames.LONGEST - 1) / PeerFrames.LONGEST;
                write(seal.frame(Type.TOLD, (++lastReplySequence << REMAINING_FRAMES_BITS)
                        | Math.min(MAX_REMAINING_FRAMES, remainingFrames), Arrays.copyOfRange(bytes, at, to)));
            }
        }

        void end() {
            sessions.remove(this);
            socket.close();
        }
    }
}
