package topazladder.broker;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import topazladder.broker.AmqpCodec.Broken;
import topazladder.broker.AmqpCodec.Call;
import topazladder.broker.AmqpCodec.Content;
import topazladder.broker.AmqpCodec.Frame;
import topazladder.broker.Broker.Channel;
import topazladder.broker.Broker.Refused;

/**
 * The stand-in broker on a loopback socket: connections and channels of the protocol before {@link Broker}. A script
 * may
 * do harm at any method, either way; nothing happens by chance.
 */
public final class BrokerServer {

    /** What a script has done to one method. */
    public enum Harm {
        NONE,
        /** It never came, and the connection is cut. */
        LOSE_AND_CUT,
        /** It is taken or sent, and the connection is cut at once. */
        CUT_AFTER,
        /** Half of its frame is sent, then the connection is cut. */
        CUT_WITHIN,
        /** Nothing more is read or sent on this connection, which stays open. */
        STALL,
        /** It is sent twice, under one tag. */
        TWICE,
        /** Its frame says that it is longer than it is. */
        WRONG_SIZE
    }

    /** Harm by script. Methods are named as in the specification, such as basic.ack. */
    public interface Script {

        /** @param nth of this method on all connections, from 1 */
        Harm received(String method, int nth);

        Harm sent(String method, int nth);
    }

    /** Does no harm. */
    public static final Script CALM = new Script() {
        @Override
        public Harm received(String method, int nth) {
            return Harm.NONE;
        }

        @Override
        public Harm sent(String method, int nth) {
            return Harm.NONE;
        }
    };

    /**
     * @param user and password by PLAIN; null for EXTERNAL, where any certificate that was let in passes
     * @param heartbeat seconds, 0 for none
     * @param frame longest frame
     */
    public record Terms(String user, String password, int heartbeat, int frame) {
    }

    private final Vertx vertx;
    private final Broker broker;
    private final Terms terms;
    private final NetServer server;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<String, Integer> received = new HashMap<>();
    private final Map<String, Integer> sent = new HashMap<>();
    private Script script = CALM;
    private boolean refusing;
    private int taken;

    public BrokerServer(Vertx vertx, Broker broker, Terms terms, NetServerOptions options) {
        this.vertx = vertx;
        this.broker = broker;
        this.terms = terms;
        server = vertx.createNetServer(options.setTcpNoDelay(true));
    }

    public Future<Integer> listen() {
        return listen(0);
    }

    public Future<Integer> listen(int port) {
        return server.connectHandler(this::connected).listen(port, "127.0.0.1").map(NetServer::actualPort);
    }

    public void script(Script next) {
        script = next;
        received.clear();
        sent.clear();
    }

    /** All connections are cut, and new ones too until it is back. */
    public void vanish() {
        refusing = true;
        List.copyOf(connections).forEach(Connection::cut);
    }

    public void comeBack() {
        refusing = false;
    }

    /** As a broker does that runs short of memory. */
    public void block(boolean blocked) {
        connections.forEach(c -> c.send(0, blocked ? "connection.blocked" : "connection.unblocked",
                blocked ? new Object[] {"low on memory"} : new Object[0]));
    }

    /** Deletes the queue and tells its consumers. */
    public void delete(String queue) {
        List<String> tags = broker.deleteQueue(queue);
        connections.forEach(c -> c.cancelled(tags));
    }

    public int connections() {
        return connections.size();
    }

    /** Connections taken since the start. */
    public int taken() {
        return taken;
    }

    private void connected(NetSocket socket) {
        if (refusing) {
            socket.close();
            return;
        }
        taken++;
        connections.add(new Connection(socket));
    }

    /** A message that is being published. */
    private static final class Incoming {
        final Call publish;
        Content content;
        final ByteArrayOutputStream body = new ByteArrayOutputStream();

        Incoming(Call publish) {
            this.publish = publish;
        }
    }

    private final class Session {
        final int number;
        final Channel channel;
        Incoming incoming;
        boolean confirms;
        long published;
        boolean closing;
        final Map<String, String> consumers = new LinkedHashMap<>();

        Session(int number, String who) {
            this.number = number;
            channel = broker.channel(who);
        }
    }

    private enum Phase { GREETING, STARTING, TUNING, OPENING, OPEN, CLOSING }

    private final class Connection {
        private final NetSocket socket;
        private final AmqpCodec.Reader reader = new AmqpCodec.Reader(4096);
        private final Map<Integer, Session> sessions = new LinkedHashMap<>();
        private final String who;
        private Phase phase = Phase.GREETING;
        private int frame = 4096;
        private boolean over;
        private boolean stalled;
        private long heardAt = System.nanoTime();
        private long timer = -1;
        private int lastConsumer;

        Connection(NetSocket socket) {
            this.socket = socket;
            who = socket.remoteAddress().toString();
            socket.handler(this::read);
            socket.exceptionHandler(e -> socket.close());
            socket.closeHandler(v -> ended());
        }

        void cut() {
            socket.close();
            ended();
        }

        private void ended() {
            if (!over) {
                over = true;
                vertx.cancelTimer(timer);
                connections.remove(this);
                sessions.values().forEach(s -> s.channel.close());
            }
        }

        private void read(Buffer more) {
            if (stalled || over) {
                return;
            }
            heardAt = System.nanoTime();
            try {
                reader.feed(more.getBytes());
                if (phase == Phase.GREETING) {
                    if (!reader.greeted()) {
                        return;
                    }
                    phase = Phase.STARTING;
                    send(0, "connection.start", 0, 9, Map.of("product", "stand-in", "capabilities", Map.of(
                            "publisher_confirms", true, "basic.nack", true, "consumer_cancel_notify", true,
                            "connection.blocked", true)), terms.user() == null ? "EXTERNAL" : "PLAIN", "en_US");
                }
                for (Frame f = reader.next(); f != null && !over && !stalled; f = reader.next()) {
                    take(f);
                }
            } catch (Broken e) {
                close(e.code, e.getMessage());
            }
        }

        private void close(int code, String text) {
            if (phase == Phase.GREETING) {
                socket.write(Buffer.buffer(AmqpCodec.GREETING));
                socket.close();
                return;
            }
            phase = Phase.CLOSING;
            send(0, "connection.close", code, text.substring(0, Math.min(200, text.length())), 0, 0);
            vertx.setTimer(500, id -> cut());
        }

        private void take(Frame f) throws Broken {
            switch (f.type()) {
                case AmqpCodec.HEARTBEAT -> {
                }
                case AmqpCodec.METHOD -> {
                    Call call = AmqpCodec.call(f.payload());
                    String name = call.method().name();
                    Harm harm = script.received(name, received.merge(name, 1, Integer::sum));
                    if (harm == Harm.LOSE_AND_CUT) {
                        cut();
                        return;
                    }
                    if (harm == Harm.STALL) {
                        stalled = true;
                        return;
                    }
                    if (f.channel() == 0) {
                        connection(call);
                    } else {
                        channel(f.channel(), call);
                    }
                    if (harm == Harm.CUT_AFTER) {
                        cut();
                    }
                }
                case AmqpCodec.HEADER -> {
                    Session s = sessions.get(f.channel());
                    if (s == null || s.incoming == null || s.incoming.content != null) {
                        throw new Broken(505, "a content header that nobody expects");
                    }
                    s.incoming.content = AmqpCodec.content(f.payload());
                    if (s.incoming.content.size() > 16 << 20) {
                        throw new Broken(501, "a body of " + s.incoming.content.size() + " bytes");
                    }
                    published(s);
                }
                default -> {
                    Session s = sessions.get(f.channel());
                    if (s == null || s.incoming == null || s.incoming.content == null) {
                        throw new Broken(505, "a body that nobody expects");
                    }
                    s.incoming.body.writeBytes(f.payload());
                    published(s);
                }
            }
        }

        private void connection(Call c) throws Broken {
            switch (c.method().name()) {
                case "connection.start-ok" -> {
                    if (!welcome(c)) {
                        phase = Phase.CLOSING;
                        send(0, "connection.close", 403, "ACCESS_REFUSED", 10, 11);
                        vertx.setTimer(500, id -> cut());
                        return;
                    }
                    phase = Phase.TUNING;
                    send(0, "connection.tune", 64, terms.frame(), terms.heartbeat());
                }
                case "connection.tune-ok" -> {
                    frame = (int) Math.min(terms.frame(), c.number("frame") == 0 ? terms.frame() : c.number("frame"));
                    reader.longest(frame);
                    phase = Phase.OPENING;
                    long heartbeat = c.number("heartbeat");
                    if (heartbeat > 0) {
                        timer = vertx.setPeriodic(heartbeat * 500, id -> beat(heartbeat));
                    }
                }
                case "connection.open" -> {
                    phase = Phase.OPEN;
                    send(0, "connection.open-ok", "");
                }
                case "connection.close" -> {
                    send(0, "connection.close-ok");
                    socket.end();
                }
                case "connection.close-ok" -> cut();
                default -> throw new Broken(503, c.method().name() + " on channel 0");
            }
        }

        private boolean welcome(Call c) {
            if (terms.user() == null) {
                return c.text("mechanism").equals("EXTERNAL");
            }
            return c.text("mechanism").equals("PLAIN")
                    && c.text("response").equals("\0" + terms.user() + "\0" + terms.password());
        }

        private void beat(long heartbeat) {
            if (stalled) {
                return;
            }
            if (System.nanoTime() - heardAt > 2 * heartbeat * 1_000_000_000L) {
                cut();
            } else {
                socket.write(Buffer.buffer(AmqpCodec.frame(AmqpCodec.HEARTBEAT, 0, new byte[0])));
            }
        }

        private void channel(int number, Call c) throws Broken {
            if (c.method().name().equals("channel.open")) {
                if (sessions.putIfAbsent(number, new Session(number, who + "/" + number)) != null) {
                    throw new Broken(504, "channel " + number + " is open already");
                }
                send(number, "channel.open-ok", "");
                return;
            }
            Session s = sessions.get(number);
            if (s == null) {
                throw new Broken(504, "channel " + number + " is not open");
            }
            if (s.closing) {
                if (c.method().name().equals("channel.close-ok")) {
                    sessions.remove(number);
                }
                return;
            }
            try {
                act(s, c);
            } catch (Refused e) {
                s.closing = true;
                s.channel.close();
                send(number, "channel.close", e.code(), e.getMessage(), c.method().classId(), c.method().methodId());
            }
        }

        private void act(Session s, Call c) throws Broken {
            int n = s.number;
            switch (c.method().name()) {
                case "channel.close" -> {
                    s.channel.close();
                    sessions.remove(n);
                    send(n, "channel.close-ok");
                }
                case "channel.flow" -> {
                    s.channel.flow(c.bit("active"));
                    send(n, "channel.flow-ok", c.bit("active"));
                }
                case "exchange.declare" -> {
                    broker.declareExchange(c.text("exchange"), c.text("type"), c.bit("passive"));
                    send(n, "exchange.declare-ok");
                }
                case "queue.declare" -> {
                    broker.declareQueue(c.text("queue"), c.table("arguments"), c.bit("durable"), c.bit("passive"));
                    send(n, "queue.declare-ok", c.text("queue"), broker.ready(c.text("queue")),
                            broker.consumers(c.text("queue")));
                }
                case "queue.bind" -> {
                    broker.bind(c.text("queue"), c.text("exchange"), c.text("key"), c.table("arguments"));
                    send(n, "queue.bind-ok");
                }
                case "queue.delete" -> {
                    delete(c.text("queue"));
                    send(n, "queue.delete-ok", 0);
                }
                case "basic.qos" -> {
                    s.channel.prefetch((int) c.number("count"));
                    send(n, "basic.qos-ok");
                }
                case "basic.consume" -> {
                    String tag = c.text("tag").isEmpty() ? "stand-in." + ++lastConsumer : c.text("tag");
                    s.consumers.put(tag, c.text("queue"));
                    send(n, "basic.consume-ok", tag);
                    s.channel.consume(c.text("queue"), tag, c.bit("no-ack"), (t, delivery, again, m) -> {
                        deliver(n, t, delivery, again, m);
                    });
                }
                case "basic.cancel" -> {
                    s.channel.cancel(c.text("tag"));
                    s.consumers.remove(c.text("tag"));
                    send(n, "basic.cancel-ok", c.text("tag"));
                }
                case "basic.publish" -> s.incoming = new Incoming(c);
                case "basic.ack" -> s.channel.acknowledge(c.number("delivery"), c.bit("multiple"));
                case "basic.reject" -> s.channel.reject(c.number("delivery"), false, c.bit("requeue"));
                case "basic.nack" -> s.channel.reject(c.number("delivery"), c.bit("multiple"), c.bit("requeue"));
                case "confirm.select" -> {
                    s.confirms = true;
                    send(n, "confirm.select-ok");
                }
                default -> throw new Broken(503, c.method().name() + " from a client");
            }
        }

        private void deliver(int channel, String tag, long delivery, boolean again, Message m) {
            content(channel, "basic.deliver", AmqpCodec.method("basic.deliver", tag, delivery, again, m.exchange(),
                    m.routingKey()), m);
        }

        private void content(int channel, String name, byte[] method, Message m) {
            Buffer all = Buffer.buffer(AmqpCodec.frame(AmqpCodec.METHOD, channel, method));
            all.appendBytes(AmqpCodec.frame(AmqpCodec.HEADER, channel,
                    AmqpCodec.content(m.body().length, m.props(), m.headers())));
            int part = frame - AmqpCodec.OVERHEAD;
            for (int i = 0; i < m.body().length; i += part) {
                all.appendBytes(AmqpCodec.frame(AmqpCodec.BODY, channel,
                        Arrays.copyOfRange(m.body(), i, Math.min(m.body().length, i + part))));
            }
            out(name, all);
        }

        private void published(Session s) {
            Incoming in = s.incoming;
            if (in.body.size() < in.content.size()) {
                return;
            }
            s.incoming = null;
            Call p = in.publish;
            boolean routed;
            try {
                routed = broker.publish(p.text("exchange"), p.text("key"), in.content.headers(), in.content.props(),
                        in.body.toByteArray());
            } catch (Refused e) {
                s.closing = true;
                s.channel.close();
                send(s.number, "channel.close", e.code(), e.getMessage(), 60, 40);
                return;
            }
            if (!routed && p.bit("mandatory")) {
                content(s.number, "basic.return", AmqpCodec.method("basic.return", 312, "NO_ROUTE", p.text("exchange"),
                        p.text("key")),
                        new Message(0, p.text("exchange"), p.text("key"), in.content.headers(),
                                in.content.props(), in.body.toByteArray()));
            }
            if (s.confirms) {
                send(s.number, "basic.ack", ++s.published, false);
            }
        }

        void cancelled(List<String> tags) {
            for (Session s : sessions.values()) {
                for (String tag : List.copyOf(s.consumers.keySet())) {
                    if (tags.contains(tag)) {
                        s.consumers.remove(tag);
                        send(s.number, "basic.cancel", tag, true);
                    }
                }
            }
        }

        void send(int channel, String name, Object... values) {
            out(name, Buffer.buffer(AmqpCodec.frame(AmqpCodec.METHOD, channel, AmqpCodec.method(name, values))));
        }

        private void out(String name, Buffer bytes) {
            if (over || stalled) {
                return;
            }
            switch (script.sent(name, sent.merge(name, 1, Integer::sum))) {
                case LOSE_AND_CUT -> cut();
                case CUT_AFTER -> {
                    socket.write(bytes).onComplete(v -> cut());
                }
                case CUT_WITHIN -> socket.write(bytes.getBuffer(0, bytes.length() / 2)).onComplete(v -> cut());
                case STALL -> stalled = true;
                case TWICE -> {
                    socket.write(bytes);
                    socket.write(bytes);
                }
                case WRONG_SIZE -> socket.write(bytes.setInt(3, bytes.getInt(3) + 3));
                case NONE -> socket.write(bytes);
            }
        }
    }
}
