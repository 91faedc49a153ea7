package topazladder.net.hall;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import topazladder.hall.Saying;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;
import topazladder.net.codec.PeerFrames.Frame;
import topazladder.net.codec.PeerFrames.Seal;
import topazladder.net.codec.PeerFrames.Type;

/**
 * What other members say, on the connections that they made. Each frame must bear the next number and a code over it,
 * so that none is read twice, left out or in another order; whoever breaks that is closed on, and says it again on a
 * new connection.
 */
public final class HallDoor {
    /** Connections at once; past that the one that has been silent for longest goes. */
    static final int MOST = 96;
    /** Of one message in parts. */
    static final int LONGEST = 1 << 20;
    private static final long SILENT_MS = 15_000;
    private static final long TELL_HEARD_MS = 300;

    /** Whoever hears. */
    public interface Listener {

        /** @param back the way back on the same connection */
        void heard(String from, Saying what, Back back);
    }

    /** To whoever has no address of its own; what is said after the connection ended is lost. */
    public interface Back {

        void tell(Saying what);
    }

    private final Vertx vertx;
    private final Listener listener;
    private final Runnable refused;
    private final LinkTraffic traffic;
    private final long sweeper;
    private final Set<Session> sessions = new LinkedHashSet<>(); // the one silent for longest is first

    /** @param refused is told of each connection that is closed for what came on it */
    HallDoor(Vertx vertx, Listener listener, Runnable refused, LinkTraffic traffic) {
        this.traffic = traffic;
        this.vertx = vertx;
        this.listener = listener;
        this.refused = refused;
        sweeper = vertx.setPeriodic(TELL_HEARD_MS, id -> sweep());
    }

    /** A connection on which a member greeted rightly; {@code reader} has what came behind the greeting. */
    public void take(NetSocket socket, Seal seal, byte[] greeting, PeerFrames.Reader reader)
            throws MalformedMessageException {
        String from = Greetings.who(greeting).name();
        Session s = new Session(socket, seal, from, reader, Greetings.OPERATOR.equals(from) ? new LinkTraffic()
                : traffic);
        sessions.add(s);
        s.greeted(greeting);
        if (sessions.size() > MOST) {
            // Not a voter's, however many ask: the group has to hear itself first.
            sessions.stream().filter(o -> !o.ofVoter).findFirst().orElse(sessions.iterator().next()).end();
        }
        socket.handler(more -> {
            reader.feed(more.getBytes());
            s.read();
        });
        socket.closeHandler(v -> sessions.remove(s));
        s.read();
    }

    void close() {
        vertx.cancelTimer(sweeper);
        Set.copyOf(sessions).forEach(Session::end);
    }

    private void sweep() {
        long now = System.nanoTime();
        for (Iterator<Session> i = Set.copyOf(sessions).iterator(); i.hasNext();) {
            Session s = i.next();
            if (now - s.lastRead > SILENT_MS * 1_000_000) {
                s.end();
            } else {
                s.tellHeard();
            }
        }
    }

    private final class Session implements Back {
        private final NetSocket socket;
        private final Seal seal;
        private final String from;
        private final PeerFrames.Reader reader;
        private final LinkTraffic traffic;
        private final ByteArrayOutputStream parts = new ByteArrayOutputStream();
        private int next = 1;
        private int toldHeard;
        private int told;
        private boolean ofVoter;
        private long lastRead = System.nanoTime();

        Session(NetSocket socket, Seal seal, String from, PeerFrames.Reader reader, LinkTraffic traffic) {
            this.traffic = traffic;
            this.socket = socket;
            this.seal = seal;
            this.from = from;
            this.reader = reader;
        }

        /** The handshake went before: a nonce from here, the greeting from there. */
        private void greeted(byte[] greeting) {
            traffic.sent(PeerFrames.sizeOnWire(PeerFrames.NONCE));
            traffic.received(PeerFrames.sizeOnWire(greeting.length));
            traffic.connectionTaken();
        }

        private void put(byte[] frame) {
            traffic.sent(frame.length);
            socket.write(Buffer.buffer(frame));
        }

        void read() {
            try {
                for (Frame f = reader.next(); f != null; f = reader.next()) {
                    if (!sessions.contains(this)) {
                        return;
                    }
                    take(f);
                }
            } catch (MalformedMessageException e) {
                refused.run();
                end();
            }
        }

        private void take(Frame f) throws MalformedMessageException {
            if (f.number() != next || !seal.holds(f) || f.type() != Type.SAY && f.type() != Type.SAY_PART) {
                throw new MalformedMessageException(
                        "frame " + f.number() + " of type " + f.type() + " in place of " + next);
            }
            next++;
            traffic.received(PeerFrames.sizeOnWire(f.payload().length));
            lastRead = System.nanoTime();
            sessions.remove(this);
            sessions.add(this);
            if (parts.size() + f.payload().length > LONGEST) {
                throw new MalformedMessageException("a message of more than " + LONGEST + " bytes");
            }
            if (f.type() == Type.SAY_PART) {
                parts.writeBytes(f.payload());
                return;
            }
            byte[] whole = f.payload();
            if (parts.size() > 0) {
                parts.writeBytes(whole);
                whole = parts.toByteArray();
                parts.reset();
            }
            Saying what = HallMessages.saying(whole);
            if (what != null) {
                ofVoter |= what instanceof Saying.Consensus;
                listener.heard(from, what, this);
            }
        }

        private void tellHeard() {
            if (toldHeard != next - 1 && !socket.writeQueueFull()) {
                toldHeard = next - 1;
                put(seal.frame(Type.HEARD, toldHeard, new byte[0]));
            }
        }

        @Override
        public void tell(Saying what) {
            byte[] bytes = HallMessages.bytes(what);
            for (int at = 0; at < bytes.length || at == 0; at += PeerFrames.LONGEST) {
                int to = Math.min(bytes.length, at + PeerFrames.LONGEST);
                // The number says how many parts are still to come.
                int left = (bytes.length - to + PeerFrames.LONGEST - 1) / PeerFrames.LONGEST;
                put(seal.frame(Type.TOLD, (++told << 8) | Math.min(255, left), Arrays.copyOfRange(bytes, at, to)));
            }
        }

        void end() {
            sessions.remove(this);
            socket.close();
        }
    }
}
