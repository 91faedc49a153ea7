package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import topazladder.faults.Links;

/**
 * The way from one process to another, on which links break: it passes bytes on between the two, or keeps them back,
 * lets them drop by drop, sends them again, or resets both ends. What a link lost comes later here, as TCP brings it
 * once the way is free, or never, where the connection was given up meanwhile.
 */
final class Relay {
    private static final int PIECE = 7;

    private final Links links;
    private final int from;
    private final int to;
    private final int target;
    private final double began;
    private final NetServer server;
    private final NetClient client;
    private final Set<Way> ways = new HashSet<>(); // emptied as connections end
    private final Set<Relay> open; // of all relays, those with connections

    /**
     * @param open where this one enters itself while it has connections; each of them is to be asked to look every so
     *     often
     * @param host where it listens, a loopback address that tells from whom to whom
     * @param target the port at which the other process listens
     */
    Relay(Vertx vertx, NetClient client, Links links, double began, Set<Relay> open, int from, int to, String host,
            int port, int target) {
        this.open = open;
        this.client = client;
        this.links = links;
        this.began = began;
        this.from = from;
        this.to = to;
        this.target = target;
        server = vertx.createNetServer();
        server.connectHandler(this::connected).listen(port, host);
    }

    /** Lets through what has waited for its time, and resets what is to be reset. */
    void look() {
        List.copyOf(ways).forEach(Way::look);
    }

    static NetClient client(Vertx vertx) {
        return vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(1000));
    }

    private double now() {
        return System.nanoTime() / 1e9 - began;
    }

    void close() {
        server.close();
        Set.copyOf(ways).forEach(Way::reset);
    }

    private void connected(NetSocket near) {
        if (links.fate(now(), from, to).reset()) {
            near.close();
            return;
        }
        Way way = new Way(near);
        ways.add(way);
        open.add(this);
        client.connect(target, "127.0.0.1").onComplete(way::through, e -> way.reset());
    }

    private final class Way {
        private final Side there;
        private Side back;
        private final NetSocket near;
        private NetSocket far;
        private boolean over;

        Way(NetSocket near) {
            this.near = near;
            there = new Side(from, to);
            near.handler(there::add);
            near.exceptionHandler(e -> reset());
            near.closeHandler(v -> reset());
        }

        void through(NetSocket s) {
            if (over) {
                s.close();
                return;
            }
            far = s;
            back = new Side(to, from);
            s.handler(back::add);
            s.exceptionHandler(e -> reset());
            s.closeHandler(v -> reset());
            there.out = s;
            back.out = near;
            there.pass();
        }

        void look() {
            if (far == null || links.quiet() && there.kept.isEmpty() && back.kept.isEmpty()) {
                return;
            }
            if (links.fate(now(), from, to).reset() || links.fate(now(), to, from).reset()) {
                reset();
            } else {
                there.pass();
                back.pass();
            }
        }

        void reset() {
            if (!over) {
                over = true;
                ways.remove(this);
                if (ways.isEmpty()) {
                    open.remove(Relay.this);
                }
                near.close();
                if (far != null) {
                    far.close();
                }
            }
        }
    }

    private record Piece(double at, Buffer bytes) {
    }

    /** One direction of one connection. */
    private final class Side {
        private final int says;
        private final int hears;
        private final Deque<Piece> kept = new ArrayDeque<>();
        private NetSocket out;

        Side(int says, int hears) {
            this.says = says;
            this.hears = hears;
        }

        void add(Buffer more) {
            Links.Fate fate = links.fate(now(), says, hears);
            double at = now() + fate.delay();
            if (fate.pieces()) {
                for (int i = 0; i < more.length(); i += PIECE) {
                    kept.add(new Piece(at + i * 0.0005, more.getBuffer(i, Math.min(more.length(), i + PIECE))));
                }
            } else {
                kept.add(new Piece(at, more));
            }
            // A frame that comes twice is one too many: whoever reads it has to notice.
            for (int i = 1; i < fate.copies(); i++) {
                kept.add(new Piece(at, more.copy()));
            }
            pass();
        }

        void pass() {
            if (out == null || kept.isEmpty() || links.fate(now(), says, hears).lost()) {
                return;
            }
            while (!kept.isEmpty() && kept.peek().at() <= now()) {
                out.write(kept.poll().bytes());
            }
        }
    }
}
