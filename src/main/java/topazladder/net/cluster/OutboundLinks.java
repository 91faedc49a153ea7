package topazladder.net.cluster;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import topazladder.cluster.ClusterMessage;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;
import topazladder.net.codec.PeerFrames.Frame;
import topazladder.net.codec.PeerFrames.Seal;
import topazladder.net.codec.PeerFrames.Type;

/**
 * The client side of the links between members: one connection to each member that this one sends to, opened when there
 * is something to send. A message that can't be sent soon is dropped; the protocols above bear the loss of any message.
 * A connection on which nothing is acknowledged is closed, since the other side may have lost it.
 */
final class OutboundLinks {
    /** Beyond this number of connections the one that was used longest ago is closed. */
    static final int MAX_CONNECTIONS = 96;
    private static final int MAX_QUEUED_MESSAGES = 64;
    /** A connection is replaced after so many frames, so that sequence numbers do not overflow. */
    private static final int MAX_FRAMES = 1 << 30;
    private static final long IDLE_TIMEOUT_MS = 8000;
    private static final long ACK_TIMEOUT_MS = 2000;
    private static final long SWEEP_INTERVAL_MS = 250;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long RECONNECT_DELAY_MS = 100;
    /** As in {@link InboundLinks}: the low bits of a reply frame's number count the frames to come. */
    private static final int REMAINING_FRAMES_BITS = 8;
    private static final int REMAINING_FRAMES_MASK = 0xff;

    private final Vertx vertx;
    private final GreetingCodec.Identity identity;
    private final Supplier<List<byte[]>> keys;
    private final BiConsumer<Address, ClusterMessage> onReply;
    private final LinkTraffic traffic;
    private final NetClient client;
    private final SecureRandom nonces = new SecureRandom(); // a nonce must not be guessable
    private final Map<Address, Link> links = new LinkedHashMap<>(16, 0.75f, true); // least recently used first
    private final long sweepTimer;
    private boolean closed;

    /** @param onReply receives messages that come back on connections opened here */
    OutboundLinks(Vertx vertx, GreetingCodec.Identity identity, Supplier<List<byte[]>> keys,
            BiConsumer<Address, ClusterMessage> onReply, LinkTraffic traffic) {
        this.traffic = traffic;
        this.vertx = vertx;
        this.identity = identity;
        this.keys = keys;
        this.onReply = onReply;
        client = vertx
                .createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MS));
        sweepTimer = vertx.setPeriodic(SWEEP_INTERVAL_MS, id -> sweep());
    }

    void send(Address to, ClusterMessage message) {
        if (closed) {
            return;
        }
        Link link = links.get(to);
        if (link == null) {
            link = new Link(to);
            links.put(to, link);
            if (links.size() > MAX_CONNECTIONS) {
                // Hundreds of members poll one leader: the responses to them must not evict the links to other voters.
                links.values().stream().filter(l -> !l.carriesConsensus).findFirst()
                        .orElse(links.values().iterator().next()).end();
            }
        }
        link.carriesConsensus |= message instanceof ClusterMessage.Consensus;
        link.send(HallMessages.bytes(message));
    }

    /** The state of each link, for diagnosing messages that do not arrive. */
    @Override
    public String toString() {
        StringBuilder all = new StringBuilder();
        links.forEach((to, link) -> all.append(" [port=").append(to.port()).append(" handshake=")
                .append(link.seal == null ? "pending" : "done").append(" sent=").append(link.lastSent)
                .append(" acknowledged=").append(link.lastAcknowledged).append(" queued=").append(link.queue.size())
                .append(']'));
        return all.toString();
    }

    void close() {
        closed = true;
        vertx.cancelTimer(sweepTimer);
        List.copyOf(links.values()).forEach(Link::end);
        client.close();
    }

    private void sweep() {
        long now = System.nanoTime();
        for (Link link : List.copyOf(links.values())) {
            boolean unacknowledged = link.lastSent != link.lastAcknowledged
                    && now - link.unacknowledgedSince > ACK_TIMEOUT_MS * 1_000_000;
            // A connection that was accepted and never greeted would otherwise stay for as long as messages are queued.
            boolean notGreeted = link.seal == null && now - link.openedAt > ACK_TIMEOUT_MS * 1_000_000;
            if (unacknowledged || notGreeted || link.lastSent > MAX_FRAMES
                    || now - link.lastUsedAt > IDLE_TIMEOUT_MS * 1_000_000) {
                link.end();
            }
        }
    }

    private final class Link {
        private final Address to;
        private final byte[] nonce = new byte[PeerFrames.NONCE];
        private final PeerFrames.Reader reader = new PeerFrames.Reader();
        private final Deque<byte[]> queue = new ArrayDeque<>(); // of messages, until the handshake is done
        private final List<byte[]> replyParts = new ArrayList<>();
        private boolean carriesConsensus;
        private NetSocket socket;
        private byte[] serverNonce;
        private Seal seal; // null until the handshake is done
        private int lastSent;
        private int lastAcknowledged;
        private int nextReplySequence = 1;
        private long lastUsedAt = System.nanoTime();
        private long unacknowledgedSince = lastUsedAt;
        private final long openedAt = lastUsedAt;

        Link(Address to) {
            this.to = to;
            nonces.nextBytes(nonce);
            client.connect(to.port(), to.host()).onComplete(this::connected,
                    // The link is kept for a moment, so that not every message to a member that is down tries anew.
                    e -> vertx.setTimer(RECONNECT_DELAY_MS, id -> end()));
        }

        private void connected(NetSocket connectedSocket) {
            socket = connectedSocket;
            if (links.get(to) != this) {
                connectedSocket.close();
                return;
            }
            connectedSocket.handler(this::read);
            connectedSocket.exceptionHandler(e -> connectedSocket.close());
            connectedSocket.closeHandler(v -> end());
        }

        void send(byte[] message) {
            lastUsedAt = System.nanoTime();
            if (seal == null) {
                if (queue.size() >= MAX_QUEUED_MESSAGES) {
                    queue.poll();
                }
                queue.add(message);
            } else if (!socket.writeQueueFull()) {
                writeMessage(message);
            }
        }

        private void writeMessage(byte[] message) {
            if (lastSent == lastAcknowledged) {
                unacknowledgedSince = System.nanoTime();
            }
            int at = 0;
            while (message.length - at > PeerFrames.LONGEST) {
                write(seal.frame(Type.SAY_PART, ++lastSent, Arrays.copyOfRange(message, at, at + PeerFrames.LONGEST)));
                at += PeerFrames.LONGEST;
            }
            write(seal.frame(Type.SAY, ++lastSent,
                    at == 0 ? message : Arrays.copyOfRange(message, at, message.length)));
        }

        private void write(byte[] frame) {
            traffic.sent(frame.length);
            socket.write(Buffer.buffer(frame));
        }

        private void read(Buffer more) {
            try {
                reader.feed(more.getBytes());
                for (Frame frame = reader.next(); frame != null && links.get(to) == this; frame = reader.next()) {
                    handle(frame);
                }
            } catch (MalformedMessageException e) {
                end();
            }
        }

        private void handle(Frame frame) throws MalformedMessageException {
            traffic.received(PeerFrames.sizeOnWire(frame.payload().length));
            if (serverNonce == null) {
                if (frame.type() != Type.HELLO || frame.payload().length != PeerFrames.NONCE) {
                    throw new MalformedMessageException("frame of type " + frame.type() + " with "
                            + frame.payload().length + " bytes from " + to.host() + ":" + to.port() + "; it should be "
                            + Type.HELLO + " with " + PeerFrames.NONCE);
                }
                serverNonce = frame.payload();
                seal = new Seal(keys.get().get(0), serverNonce, nonce);
                write(seal.frame(Type.MEMBER, 0, GreetingCodec.encode(nonce, identity)));
                traffic.connectionMade();
                queue.forEach(this::writeMessage);
                queue.clear();
                return;
            }
            if (!seal.holds(frame)) {
                throw new MalformedMessageException("frame of type " + frame.type() + " from " + to.host() + ":"
                        + to.port() + " with a wrong MAC; it has another key, or was changed on the way");
            }
            switch (frame.type()) {
                case HEARD -> {
                    if (frame.number() < lastAcknowledged || frame.number() > lastSent) {
                        throw new MalformedMessageException(
                                "acknowledgement of frame " + frame.number() + "; it should be from "
                                        + lastAcknowledged + " to " + lastSent);
                    }
                    lastAcknowledged = frame.number();
                    unacknowledgedSince = System.nanoTime();
                }
                case TOLD -> {
                    if (frame.number() >>> REMAINING_FRAMES_BITS != nextReplySequence++
                            || replyParts.size() > InboundLinks.MAX_MESSAGE_BYTES / PeerFrames.LONGEST) {
                        throw new MalformedMessageException("reply frame "
                                + (frame.number() >>> REMAINING_FRAMES_BITS) + " after " + replyParts.size()
                                + " parts; it should be " + (nextReplySequence - 1) + " of a reply of at most "
                                + InboundLinks.MAX_MESSAGE_BYTES + " bytes");
                    }
                    replyParts.add(frame.payload());
                    if ((frame.number() & REMAINING_FRAMES_MASK) == 0) {
                        Buffer whole = Buffer.buffer();
                        replyParts.forEach(whole::appendBytes);
                        replyParts.clear();
                        ClusterMessage message = HallMessages.saying(whole.getBytes());
                        if (message != null) {
                            onReply.accept(to, message);
                        }
                    }
                }
                default -> throw new MalformedMessageException("frame of type " + frame.type()
                        + " from the server of a link; it should be " + Type.HEARD + " or " + Type.TOLD);
            }
        }

        void end() {
            links.remove(to, this);
            if (socket != null) {
                socket.close();
            }
        }
    }
}
