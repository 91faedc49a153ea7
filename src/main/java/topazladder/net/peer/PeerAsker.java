package topazladder.net.peer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.security.SecureRandom;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;
import topazladder.net.codec.PeerFrames.Frame;
import topazladder.net.codec.PeerFrames.Seal;
import topazladder.net.codec.PeerFrames.Type;
import topazladder.net.codec.PeerMessages;
import topazladder.warmstart.Origin;
import topazladder.warmstart.SharedEstimate;

/** Asks one peer a connection; what comes of it is told by the number of the try, until that is dropped. */
final class PeerAsker {

    /** Whoever wants the answers. */
    interface Listener {

        void heard(int number, Collection<SharedEstimate> facts);

        void whole(int number);

        void later(int number, double comeBackIn);

        /** The peer is the asker itself, or its own earlier life at a reused address. */
        void failed(int number, String why);
    }

    private final Vertx vertx;
    private final Origin here;
    private final Supplier<List<byte[]>> keys;
    private final Listener listener;
    private final NetClient client;
    private final SecureRandom secret = new SecureRandom(); // a nonce must not be guessable
    private final Map<Integer, Talk> open = new HashMap<>(); // emptied by ends and drops

    PeerAsker(Vertx vertx, Origin here, double tryFor, Supplier<List<byte[]>> keys, Listener listener) {
        this.vertx = vertx;
        this.here = here;
        this.keys = keys;
        this.listener = listener;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)
                .setConnectTimeout((int) Math.max(1, tryFor * 1000)));
    }

    void ask(int number, Address at) {
        Talk talk = new Talk(number);
        open.put(number, talk);
        client.connect(at.port(), at.host()).onComplete(talk::connected, e -> talk.fail("it can't be reached"));
    }

    void drop(int number) {
        Talk talk = open.remove(number);
        if (talk != null) {
            talk.close();
        }
    }

    void close() {
        List.copyOf(open.keySet()).forEach(this::drop);
        client.close();
    }

    private final class Talk {
        private final int number;
        private final byte[] nonce = new byte[PeerFrames.NONCE];
        private final PeerFrames.Reader reader = new PeerFrames.Reader();
        private NetSocket socket;
        private byte[] theirNonce;
        private Seal seal;
        private int chunks = -1;
        private int came;

        Talk(int number) {
            this.number = number;
            secret.nextBytes(nonce);
        }

        private boolean wanted() {
            return open.get(number) == this;
        }

        void connected(NetSocket s) {
            if (!wanted()) {
                s.close();
                return;
            }
            socket = s;
            s.handler(this::read);
            s.exceptionHandler(e -> s.close());
            s.closeHandler(v -> fail("it closed the connection"));
        }

        void close() {
            if (socket != null) {
                socket.close();
            }
        }

        void fail(String why) {
            if (wanted()) {
                open.remove(number);
                close();
                listener.failed(number, why);
            }
        }

        private void read(Buffer more) {
            try {
                reader.feed(more.getBytes());
                for (Frame f = reader.next(); f != null && wanted(); f = reader.next()) {
                    take(f);
                }
            } catch (MalformedMessageException e) {
                fail(e.getMessage());
            }
        }

        private void take(Frame f) throws MalformedMessageException {
            if (theirNonce == null) {
                if (f.type() != Type.HELLO || f.payload().length != PeerFrames.NONCE) {
                    throw new MalformedMessageException("no greeting");
                }
                theirNonce = f.payload();
                // During a change both sides may know two keys; the first is the one that is to stay.
                seal = new Seal(keys.get().get(0), theirNonce, nonce);
                socket.write(Buffer.buffer(seal.frame(Type.ASK, 0, PeerMessages.ask(nonce, here))));
                return;
            }
            if (!seal.holds(f)) {
                throw new MalformedMessageException("sealed by another key, or changed on the way");
            }
            switch (f.type()) {
                case LATER -> {
                    open.remove(number);
                    close();
                    listener.later(number, PeerMessages.later(f.payload()).comeBackIn());
                }
                case HEADER -> {
                    if (chunks >= 0) {
                        throw new MalformedMessageException("a second head");
                    }
                    PeerMessages.Head head = PeerMessages.head(f.payload());
                    if (head.from().name().equals(here.name()) && head.from().incarnation() == here.incarnation()) {
                        throw new MalformedMessageException("it is this instance itself");
                    }
                    chunks = head.chunks();
                    listener.heard(number, List.of());
                }
                case CHUNK -> {
                    if (f.number() != came || came >= chunks) {
                        throw new MalformedMessageException(
                                "chunk " + f.number() + " in place of " + came + " of " + chunks);
                    }
                    came++;
                    listener.heard(number, PeerMessages.chunk(f.payload(), PeerNode.seconds()));
                }
                case END -> {
                    if (came != chunks) {
                        throw new MalformedMessageException("an end after " + came + " of " + chunks + " chunks");
                    }
                    open.remove(number);
                    close();
                    listener.whole(number);
                }
                default -> throw new MalformedMessageException("a " + f.type() + " from who was asked");
            }
        }
    }
}
