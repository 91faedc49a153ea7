package topazladder.net.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;
import topazladder.net.codec.PeerFrames.Frame;
import topazladder.net.codec.PeerFrames.Seal;
import topazladder.net.codec.PeerFrames.Type;
import topazladder.net.codec.PeerMessages;
import topazladder.net.codec.PeerMessages.Asked;
import topazladder.net.codec.PeerMessages.Delay;
import topazladder.net.codec.PeerMessages.Delay.Reason;
import topazladder.peering.ShareLimiter;
import topazladder.peering.ShareLimiter.Decision;
import topazladder.request.LearnedEstimate;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.InstanceLifecycle.Phase;
import topazladder.warmstart.EstimateExchange;

/** Listens for instances that ask what this one knows: one question a connection, then it is closed. */
public final class PeerServer {
    /** At once; whoever comes beyond is closed unheard and asks another. */
    static final int MOST = 8;
    /** The same where members of a hall greet here: hundreds may turn to a new leader in one second. */
    static final int MOST_WITH_MEMBERS = 64;
    /** A question comes at once or not at all; a nonce is good for no longer. */
    private static final long QUESTION_MS = 2000;
    /** Whoever does not read its share by then has none. */
    private static final long LONGEST_MS = 5000;

    private final Vertx vertx;
    private final EstimateExchange learning;
    private final Supplier<List<LearnedEstimate>> own;
    private final Supplier<Phase> phase;
    private final Counters counters;
    private final ShareLimiter giving;
    private final Supplier<List<byte[]>> keys;
    private final Greeted members;
    private final NetServer server;
    /** Guessable, a nonce would let an old recording pass: not from the seed that all else draws from. */
    private final SecureRandom secret = new SecureRandom();
    private final Set<NetSocket> open = new HashSet<>(); // emptied as they close

    /** A member of the hall has greeted rightly: the connection is its own from here on. */
    public interface Greeted {

        void take(NetSocket socket, Seal seal, byte[] greeting, PeerFrames.Reader reader)
                throws MalformedMessageException;
    }

    /**
     * @param own what this instance has learned by itself; nothing while it is cold
     * @param members null where this instance is of no hall
     */
    public PeerServer(Vertx vertx, EstimateExchange learning, Supplier<List<LearnedEstimate>> own,
            Supplier<Phase> phase,
            Counters counters,
            ShareLimiter giving, Supplier<List<byte[]>> keys, Greeted members) {
        this.members = members;
        this.vertx = vertx;
        this.learning = learning;
        this.own = own;
        this.phase = phase;
        this.counters = counters;
        this.giving = giving;
        this.keys = keys;
        server = vertx.createNetServer(new NetServerOptions().setReuseAddress(true).setTcpNoDelay(true)
                .setAcceptBacklog(64));
    }

    public Future<NetServer> listen(Address at) {
        return server.connectHandler(this::connected).listen(at.port(), at.host());
    }

    public void close() {
        server.close();
    }

    private void connected(NetSocket socket) {
        if (open.size() >= (members == null ? MOST : MOST_WITH_MEMBERS)) {
            socket.close();
            return;
        }
        open.add(socket);
        new Asker(socket);
    }

    /** One connection; it ends after one question. */
    private final class Asker {
        private final NetSocket socket;
        private final byte[] nonce = new byte[PeerFrames.NONCE];
        private final PeerFrames.Reader reader = new PeerFrames.Reader();
        private final long timer;
        private boolean over;

        Asker(NetSocket socket) {
            this.socket = socket;
            secret.nextBytes(nonce);
            timer = vertx.setTimer(QUESTION_MS, id -> refuse());
            socket.handler(this::read);
            socket.exceptionHandler(e -> socket.close());
            socket.closeHandler(v -> {
                open.remove(socket);
                vertx.cancelTimer(timer);
            });
            socket.write(Buffer.buffer(PeerFrames.hello(nonce)));
        }

        private void read(Buffer more) {
            if (over) {
                return;
            }
            try {
                reader.feed(more.getBytes());
                Frame f = reader.next();
                if (f == null) {
                    return;
                }
                if (f.type() != Type.ASK && (f.type() != Type.MEMBER || members == null)) {
                    throw new MalformedMessageException("no question");
                }
                byte[] theirs = PeerMessages.nonce(f.payload());
                Seal seal = PeerFrames.opened(f, keys.get(), nonce, theirs);
                if (seal == null) {
                    throw new MalformedMessageException("sealed by no key of ours, or for another connection");
                }
                over = true;
                vertx.cancelTimer(timer);
                if (f.type() == Type.MEMBER) {
                    open.remove(socket);
                    members.take(socket, seal, f.payload(), reader);
                } else {
                    answer(seal, f.payload());
                }
            } catch (MalformedMessageException e) {
                refuse();
            }
        }

        private void answer(Seal seal, byte[] question) {
            double now = PeerNode.seconds();
            try {
                Asked asked = PeerMessages.asked(question);
                if (phase.get() != Phase.SERVING) {
                    put(seal, new Delay(phase.get() == Phase.DRAINING ? Reason.DRAINING : Reason.KNOWS_NOTHING, 0));
                    return;
                }
                List<LearnedEstimate> known = own.get();
                if (known.isEmpty()) {
                    put(seal, new Delay(Reason.KNOWS_NOTHING, 0)); // as cold as whoever asks
                    return;
                }
                Decision turn = giving.request(now, asked.from().name() + '#' + asked.from().incarnation());
                if (!turn.isGranted()) {
                    put(seal, new Delay(Reason.BUSY, turn.retryAfterSeconds()));
                    return;
                }
                counters.add(Count.SHARES_SENT);
                List<byte[]> chunks = PeerMessages.chunks(learning.createShare(known), now);
                socket.write(Buffer.buffer(seal.frame(Type.HEADER, 0,
                        PeerMessages.head(learning.self(), chunks.size()))));
                for (int i = 0; i < chunks.size(); i++) {
                    socket.write(Buffer.buffer(seal.frame(Type.CHUNK, i, chunks.get(i))));
                }
                socket.write(Buffer.buffer(seal.frame(Type.END, chunks.size(), new byte[0])));
                double took = PeerNode.seconds() - now;
                giving.recordCost(now + took, took);
                part();
            } catch (MalformedMessageException e) {
                put(seal, new Delay(Reason.UNREADABLE, 0));
            }
        }

        private void put(Seal seal, Delay delay) {
            counters.add(Count.PEERS_POSTPONED);
            socket.write(Buffer.buffer(seal.frame(Type.LATER, 0, PeerMessages.later(delay))));
            part();
        }

        /** It reads to the end and closes; what it sends meanwhile is not read. */
        private void part() {
            socket.pause();
            long last = vertx.setTimer(LONGEST_MS, id -> socket.close());
            socket.end().onComplete(v -> vertx.cancelTimer(last));
        }

        /** Nothing is said to whoever has no key: not even why. */
        private void refuse() {
            over = true;
            counters.add(Count.PEERS_REJECTED);
            socket.close();
        }
    }
}
