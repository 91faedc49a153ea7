package topazladder.net.hall;

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
import topazladder.config.ServiceSettings.Address;
import topazladder.hall.Saying;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;
import topazladder.net.codec.PeerFrames.Frame;
import topazladder.net.codec.PeerFrames.Seal;
import topazladder.net.codec.PeerFrames.Type;

/**
 * What this member says to others: one connection to each that it speaks to, made when there is something to say.
 * What can't be said soon is lost, as all that is said here may be; a connection on which nothing is heard of what
 * was said is given up, since it may be one that only this side still believes in.
 */
final class HallLinks {
    /** Connections at once; past that the one used longest ago goes. */
    static final int MOST = 96;
    private static final int MOST_WAITING = 64;
    /** On one connection, so that numbers do not come round. */
    private static final int MOST_FRAMES = 1 << 30;
    private static final long IDLE_MS = 8000;
    private static final long UNHEARD_MS = 2000;
    private static final long SWEEP_MS = 250;
    private static final int CONNECT_MS = 1000;
    private static final long AGAIN_MS = 100;

    private final Vertx vertx;
    private final Greetings.Who here;
    private final Supplier<List<byte[]>> keys;
    private final BiConsumer<Address, Saying> told;
    private final LinkTraffic traffic;
    private final NetClient client;
    private final SecureRandom secret = new SecureRandom(); // a nonce must not be guessable
    private final Map<Address, Link> links = new LinkedHashMap<>(16, 0.75f, true); // the one used longest ago is first
    private final long sweeper;
    private boolean closed;

    /** @param told what comes back on a connection made here */
    HallLinks(Vertx vertx, Greetings.Who here, Supplier<List<byte[]>> keys, BiConsumer<Address, Saying> told,
            LinkTraffic traffic) {
        this.traffic = traffic;
        this.vertx = vertx;
        this.here = here;
        this.keys = keys;
        this.told = told;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_MS));
        sweeper = vertx.setPeriodic(SWEEP_MS, id -> sweep());
    }

    void say(Address to, Saying what) {
        if (closed) {
            return;
        }
        Link link = links.get(to);
        if (link == null) {
            link = new Link(to);
            links.put(to, link);
            if (links.size() > MOST) {
                // Hundreds of members ask one leader: what they are answered must not push out what voters say.
                links.values().stream().filter(l -> !l.toVoter).findFirst()
                        .orElse(links.values().iterator().next()).end();
            }
        }
        link.toVoter |= what instanceof Saying.Consensus;
        link.say(HallMessages.bytes(what));
    }

    /** For whoever looks into what does not come through. */
    @Override
    public String toString() {
        StringBuilder all = new StringBuilder();
        links.forEach((to, l) -> all.append(' ').append(to.port()).append(l.seal == null ? " ungreeted" : " ")
                .append(l.said).append('/').append(l.heard).append(" waiting ").append(l.waiting.size()).append(';'));
        return all.toString();
    }

    void close() {
        closed = true;
        vertx.cancelTimer(sweeper);
        List.copyOf(links.values()).forEach(Link::end);
        client.close();
    }

    private void sweep() {
        long now = System.nanoTime();
        for (Link l : List.copyOf(links.values())) {
            boolean unheard = l.said != l.heard && now - l.unheardSince > UNHEARD_MS * 1_000_000;
            // One that was taken and never greeted would stay for as long as there is something to say on it.
            boolean ungreeted = l.seal == null && now - l.made > UNHEARD_MS * 1_000_000;
            if (unheard || ungreeted || l.said > MOST_FRAMES || now - l.lastSaid > IDLE_MS * 1_000_000) {
                l.end();
            }
        }
    }

    private final class Link {
        private final Address to;
        private final byte[] nonce = new byte[PeerFrames.NONCE];
        private final PeerFrames.Reader reader = new PeerFrames.Reader();
        private final Deque<byte[]> waiting = new ArrayDeque<>();
        private final List<byte[]> parts = new ArrayList<>();
        private boolean toVoter;
        private NetSocket socket;
        private byte[] theirNonce;
        private Seal seal;
        private int said;
        private int heard;
        private int toldNext = 1;
        private long lastSaid = System.nanoTime();
        private long unheardSince = lastSaid;
        private final long made = lastSaid;

        Link(Address to) {
            this.to = to;
            secret.nextBytes(nonce);
            client.connect(to.port(), to.host()).onComplete(this::connected,
                    // Kept for a moment, so that what can't be reached is not tried for each thing that is said to it.
                    e -> vertx.setTimer(AGAIN_MS, id -> end()));
        }

        private void connected(NetSocket s) {
            socket = s;
            if (links.get(to) != this) {
                s.close();
                return;
            }
            s.handler(this::read);
            s.exceptionHandler(e -> s.close());
            s.closeHandler(v -> end());
        }

        void say(byte[] bytes) {
            lastSaid = System.nanoTime();
            if (seal == null) {
                if (waiting.size() >= MOST_WAITING) {
                    waiting.poll();
                }
                waiting.add(bytes);
            } else if (!socket.writeQueueFull()) {
                write(bytes);
            }
        }

        private void write(byte[] bytes) {
            if (said == heard) {
                unheardSince = System.nanoTime();
            }
            int at = 0;
            while (bytes.length - at > PeerFrames.LONGEST) {
                put(seal.frame(Type.SAY_PART, ++said, Arrays.copyOfRange(bytes, at, at + PeerFrames.LONGEST)));
                at += PeerFrames.LONGEST;
            }
            put(seal.frame(Type.SAY, ++said, at == 0 ? bytes : Arrays.copyOfRange(bytes, at, bytes.length)));
        }

        private void put(byte[] frame) {
            traffic.sent(frame.length);
            socket.write(Buffer.buffer(frame));
        }

        private void read(Buffer more) {
            try {
                reader.feed(more.getBytes());
                for (Frame f = reader.next(); f != null && links.get(to) == this; f = reader.next()) {
                    take(f);
                }
            } catch (MalformedMessageException e) {
                end();
            }
        }

        private void take(Frame f) throws MalformedMessageException {
            traffic.received(PeerFrames.sizeOnWire(f.payload().length));
            if (theirNonce == null) {
                if (f.type() != Type.HELLO || f.payload().length != PeerFrames.NONCE) {
                    throw new MalformedMessageException("no greeting");
                }
                theirNonce = f.payload();
                seal = new Seal(keys.get().get(0), theirNonce, nonce);
                put(seal.frame(Type.MEMBER, 0, Greetings.bytes(nonce, here)));
                traffic.connectionMade();
                waiting.forEach(this::write);
                waiting.clear();
                return;
            }
            if (!seal.holds(f)) {
                throw new MalformedMessageException("sealed by another key, or changed on the way");
            }
            switch (f.type()) {
                case HEARD -> {
                    if (f.number() < heard || f.number() > said) {
                        throw new MalformedMessageException("word of a frame that was not said");
                    }
                    heard = f.number();
                    unheardSince = System.nanoTime();
                }
                case TOLD -> {
                    if (f.number() >>> 8 != toldNext++ || parts.size() > HallDoor.LONGEST / PeerFrames.LONGEST) {
                        throw new MalformedMessageException("a part out of its place");
                    }
                    parts.add(f.payload());
                    if ((f.number() & 0xff) == 0) {
                        Buffer whole = Buffer.buffer();
                        parts.forEach(whole::appendBytes);
                        parts.clear();
                        Saying what = HallMessages.saying(whole.getBytes());
                        if (what != null) {
                            told.accept(to, what);
                        }
                    }
                }
                default -> throw new MalformedMessageException("a " + f.type() + " from who was spoken to");
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
