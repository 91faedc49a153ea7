package topazladder.net.amqp;

import com.rabbitmq.client.AMQP.BasicProperties;
import com.rabbitmq.client.BlockedListener;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.ConfirmListener;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import com.rabbitmq.client.DefaultConsumer;
import com.rabbitmq.client.DefaultSaslConfig;
import com.rabbitmq.client.Envelope;
import com.rabbitmq.client.ShutdownSignalException;
import com.rabbitmq.client.SocketConfigurators;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Date;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.BrokerSettings;
import topazladder.config.BrokerSettings.Topology;
import topazladder.config.QueueSettings;
import topazladder.config.QueueSettings.Route;
import topazladder.delivery.BrokerPort;
import topazladder.delivery.Consumer;
import topazladder.delivery.DeathHeader;
import topazladder.delivery.Delivery;
import topazladder.delivery.Delivery.Properties;
import topazladder.delivery.FullJitter;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;

/**
 * The link to one broker, on the client library. Two connections, as a broker that runs short stops reading from
 * whoever
 * publishes, and acknowledgements must still get through; the end of either is the end of the link. The library waits
 * on
 * threads of its own; all that is decided is decided on the event loop.
 */
final class AmqpLink implements BrokerPort {
    private static final Logger LOG = LoggerFactory.getLogger(AmqpLink.class);
    private static final String NUMBER = "x-topazladder-number";
    private static final int LONGEST_WAIT_MS = 5000;
    private static final int CLOSING_MS = 300;
    /** Runs at once what the library hands over: it only passes it on to the event loop. */
    private static final ExecutorService AT_ONCE = new AbstractExecutorService() {
        @Override
        public void execute(Runnable what) {
            what.run();
        }

        @Override
        public void shutdown() {}

        @Override
        public List<Runnable> shutdownNow() {
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return false;
        }

        @Override
        public boolean isTerminated() {
            return false;
        }

        @Override
        public boolean awaitTermination(long timeout, TimeUnit unit) {
            return true;
        }
    };

    /** One life of the link; its parts are made on the threads of the commands. */
    private static final class Session {
        private Connection consuming;
        private Connection publishing;
        private Channel copies;
        private final Map<String, Channel> channels = new ConcurrentHashMap<>();
        /** Numbers of what is published, by the library's own; emptied by confirmations. */
        private final ConcurrentNavigableMap<Long, Long> unconfirmed = new ConcurrentSkipListMap<>();
        private final Set<Long> cameBack = ConcurrentHashMap.newKeySet();

        void close() {
            for (Connection c : new Connection[] {consuming, publishing}) {
                if (c != null) {
                    c.abort(CLOSING_MS);
                }
            }
        }
    }

    private final Vertx vertx;
    private final Context loop;
    private final Counters counters;
    private final FullJitter jitter;
    private final Commands takes;
    private final Commands puts;
    private final ScheduledExecutorService heartbeats;
    private final Map<String, Integer> windows = new HashMap<>();
    private final Set<String> heldBack = new HashSet<>(); // queues that are not consumed for now
    private BrokerSettings terms;
    private Consumer consumer;
    private Session session; // null while there is no link
    private int generation; // whatever an earlier one leads to is let go
    private boolean over;

    AmqpLink(Vertx vertx, Context loop, BrokerSettings terms, Counters counters, RandomGenerator chance) {
        this.vertx = vertx;
        this.loop = loop;
        this.terms = terms;
        this.counters = counters;
        jitter = new FullJitter(0.1, 10, chance);
        takes = new Commands("broker-takes-" + terms.name());
        puts = new Commands("broker-puts-" + terms.name());
        heartbeats = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "broker-heartbeats-" + terms.name());
            t.setDaemon(true);
            return t;
        });
    }

    void open(Consumer consumer) {
        this.consumer = consumer;
        connect();
    }

    /** No deliveries of this queue until {@link #begin}; those that are out stay out until they are settled. */
    void holdBack(String queue) {
        if (heldBack.add(queue) && session != null) {
            stop(queue);
        }
    }

    void begin(String queue) {
        if (heldBack.remove(queue) && session != null && !consumer.leaving()
                && session.channels.get(queue) != null) {
            consume(session, queue);
        }
    }

    /** What is out of this queue goes back to the broker at once, by the end of its channel. */
    void giveBack(String queue) {
        if (session != null && consumer.open(queue) > 0) {
            on(queue, c -> c.abort());
        }
    }

    boolean isUp() {
        return session != null;
    }

    /** The broker is another now, or is spoken to in another way: what is out on the old link comes again. */
    void move(BrokerSettings to) {
        if (!to.equals(terms)) {
            LOG.info("broker {} is at another address, or spoken to in another way", to.name());
            terms = to;
            jitter.reset();
            if (consumer != null && !over) {
                drop("it was moved");
                connect();
            }
        }
    }

    /** Ends in good order, so that what was settled last is heard. */
    void close(Runnable done) {
        over = true;
        generation++;
        Session last = session;
        session = null;
        if (last == null || !takes.add(() -> {
            for (Connection c : new Connection[] {last.consuming, last.publishing}) {
                try {
                    c.close(CLOSING_MS);
                } catch (IOException | ShutdownSignalException e) {
                    LOG.debug("a broker's link ended while it was closed", e);
                }
            }
            loop.runOnContext(v -> done.run());
        })) {
            done.run();
        }
        takes.end();
        puts.end();
        heartbeats.shutdown();
    }

    private void onLoop(int mine, Runnable what) {
        loop.runOnContext(v -> {
            if (mine == generation) {
                what.run();
            }
        });
    }

    private void connect() {
        int mine = ++generation;
        BrokerSettings to = terms;
        if (!takes.add(() -> {
            Session s = new Session();
            try {
                make(s, to, mine);
                loop.runOnContext(v -> {
                    if (mine == generation) {
                        connected(s);
                    } else if (!takes.add(s::close)) {
                        s.close(); // it was moved meanwhile, and nobody else knows of this link
                    }
                });
            } catch (Exception e) {
                s.close();
                onLoop(mine, () -> {
                    LOG.warn("broker {} can't be used: {}", to.name(), reason(e));
                    again();
                });
            }
        })) {
            again();
        }
    }

    /** What the broker said, where it said something: the library wraps it. */
    private static String reason(Throwable e) {
        for (Throwable t = e; t != null; t = t.getCause()) {
            if (t instanceof ShutdownSignalException s && s.getReason() != null) {
                return s.getReason().toString().replaceAll("\\s+", " ");
            }
        }
        return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    }

    private void again() {
        if (!over) {
            int mine = generation;
            vertx.setTimer(Math.max(1, Math.round(jitter.next() * 1000)), id -> {
                if (mine == generation && !over) {
                    connect();
                }
            });
        }
    }

    private void connected(Session s) {
        session = s;
        jitter.reset();
        LOG.info("broker {} is linked", terms.name());
        if (!consumer.leaving()) {
            terms.queues().stream().filter(q -> !heldBack.contains(q.queue()))
                    .forEach(q -> consume(s, q.queue()));
        }
    }

    private void drop(String why) {
        Session old = session;
        session = null;
        generation++;
        if (old != null) {
            counters.add(Count.LINKS_LOST);
            LOG.warn("the link to broker {} is lost: {}", terms.name(), why);
            consumer.linkLost();
            takes.add(old::close);
        }
    }

    private void lost(String why) {
        if (session != null) {
            drop(why);
            again();
        }
    }

    // ---- On the threads of the commands

    private ConnectionFactory factory(BrokerSettings to) throws IOException {
        ConnectionFactory f = new ConnectionFactory();
        f.setHost(to.address().host());
        f.setPort(to.address().port());
        f.setVirtualHost(to.virtualHost());
        f.setAutomaticRecoveryEnabled(false);
        f.setTopologyRecoveryEnabled(false);
        f.setRequestedHeartbeat((int) Math.ceil(to.heartbeatSeconds()));
        f.setConnectionTimeout(LONGEST_WAIT_MS);
        f.setHandshakeTimeout(LONGEST_WAIT_MS);
        f.setChannelRpcTimeout(LONGEST_WAIT_MS);
        f.setShutdownTimeout(CLOSING_MS);
        f.setSharedExecutor(AT_ONCE);
        f.setHeartbeatExecutor(heartbeats);
        f.setThreadFactory(r -> {
            Thread t = new Thread(r, "broker-link-" + to.name());
            t.setDaemon(true);
            return t;
        });
        if (to.password() == null) {
            f.setSaslConfig(DefaultSaslConfig.EXTERNAL);
        } else {
            f.setUsername(to.user());
            f.setPassword(new String(to.password().bytes(), StandardCharsets.UTF_8));
        }
        if (to.tls() != null) {
            f.useSslProtocol(Pem.context(to.tls()));
            if (to.tls().serverName().isEmpty()) {
                f.setSocketConfigurator(SocketConfigurators.defaultConfigurator()
                        .andThen(SocketConfigurators.enableHostnameVerification()));
            }
        }
        return f;
    }

    private void make(Session s, BrokerSettings to, int mine) throws Exception {
        ConnectionFactory f = factory(to);
        s.consuming = f.newConnection("topazladder takes");
        s.publishing = f.newConnection("topazladder puts");
        for (Connection c : new Connection[] {s.consuming, s.publishing}) {
            c.addShutdownListener(cause -> onLoop(mine, () -> lost(reason(cause))));
        }
        s.publishing.addBlockedListener(new BlockedListener() {
            @Override
            public void handleBlocked(String reason) {
                LOG.warn("broker {} takes no messages for now: {}", to.name(), reason);
            }

            @Override
            public void handleUnblocked() {
                LOG.info("broker {} takes messages again", to.name());
            }
        });
        topology(s, to);
        s.copies = s.publishing.createChannel();
        s.copies.confirmSelect();
        s.copies.addReturnListener(r -> {
            Object number = r.getProperties().getHeaders() == null ? null : r.getProperties().getHeaders().get(NUMBER);
            if (number != null) {
                s.cameBack.add(Long.parseLong(number.toString()));
            }
        });
        s.copies.addConfirmListener(new ConfirmListener() {
            @Override
            public void handleAck(long sequence, boolean multiple) {
                Map<Long, Long> told = multiple ? s.unconfirmed.headMap(sequence, true)
                        : s.unconfirmed.subMap(sequence, true, sequence, true);
                for (Map.Entry<Long, Long> e : new ArrayList<>(told.entrySet())) {
                    told.remove(e.getKey());
                    boolean ok = !s.cameBack.remove(e.getValue());
                    onLoop(mine, () -> consumer.published(e.getValue(), ok));
                }
            }

            @Override
            public void handleNack(long sequence, boolean multiple) {
                // Whether a queue has it nobody can tell; with its link it is settled as unknown.
                onLoop(mine, () -> lost("the broker could not take a message"));
            }
        });
        s.copies.addShutdownListener(cause -> {
            if (!cause.isHardError()) {
                onLoop(mine, () -> lost("its channel for messages ended: " + reason(cause)));
            }
        });
        for (QueueSettings q : to.queues()) {
            channel(s, q.queue(), mine);
        }
    }

    private void topology(Session s, BrokerSettings to) throws Exception {
        Channel c = s.consuming.createChannel();
        Topology t = to.declaredTopology();
        if (t == null) {
            for (QueueSettings q : to.queues()) {
                c.queueDeclarePassive(q.queue());
                for (Route r : new Route[] {q.delayRoute(), q.deadLetterRoute()}) {
                    if (r != null && !r.exchange().isEmpty()) {
                        c.exchangeDeclarePassive(r.exchange());
                    }
                }
            }
        } else {
            for (BrokerSettings.Exchange e : t.exchanges()) {
                c.exchangeDeclare(e.name(), e.type(), true);
            }
            for (BrokerSettings.Queue q : t.queues()) {
                Map<String, Object> arguments = new LinkedHashMap<>();
                if (q.deadLetterExchange() != null) {
                    arguments.put("x-dead-letter-exchange", q.deadLetterExchange());
                }
                if (q.deadLetterKey() != null) {
                    arguments.put("x-dead-letter-routing-key", q.deadLetterKey());
                }
                if (q.timeToLiveSeconds() > 0) {
                    arguments.put("x-message-ttl", Math.round(q.timeToLiveSeconds() * 1000));
                }
                if (q.maxMessages() > 0) {
                    arguments.put("x-max-length", (long) q.maxMessages());
                }
                c.queueDeclare(q.name(), true, false, false, arguments);
            }
            for (BrokerSettings.Binding b : t.bindings()) {
                c.queueBind(b.queue(), b.exchange(), b.routingKey());
            }
        }
        c.close();
    }

    private void channel(Session s, String queue, int mine) throws IOException {
        Channel c = s.consuming.createChannel();
        if (c == null) {
            throw new IOException("the broker allows too few channels");
        }
        c.addShutdownListener(cause -> {
            if (!cause.isHardError()) {
                onLoop(mine, () -> channelLost(s, queue, c, reason(cause)));
            }
        });
        s.channels.put(queue, c);
    }

    private static Delivery delivery(String queue, Envelope e, BasicProperties p, byte[] body) {
        Map<String, String> headers = new LinkedHashMap<>();
        int rejections = 0;
        if (p.getHeaders() != null) {
            for (Map.Entry<String, Object> h : p.getHeaders().entrySet()) {
                if (h.getKey().equals(DeathHeader.NAME)) {
                    rejections = DeathHeader.rejections(h.getValue());
                } else if (!h.getKey().equals(NUMBER)) {
                    headers.put(h.getKey(), String.valueOf(h.getValue()));
                }
            }
        }
        return new Delivery(queue, e.getDeliveryTag(), e.isRedeliver(), e.getExchange(), e.getRoutingKey(), headers,
                new Properties(p.getMessageId(), p.getCorrelationId(), p.getReplyTo(), p.getType(),
                        seconds(p.getExpiration()), p.getTimestamp() == null ? 0 : p.getTimestamp().getTime() / 1000.0,
                        p.getPriority() == null ? -1 : p.getPriority()),
                rejections, body);
    }

    private static double seconds(String milliseconds) {
        try {
            return milliseconds == null ? 0 : Math.max(0, Double.parseDouble(milliseconds) / 1000);
        } catch (NumberFormatException e) {
            return 0; // a broker would not have taken it
        }
    }

    // ---- On the event loop

    private void consume(Session s, String queue) {
        if (heldBack.contains(queue)) {
            return;
        }
        int mine = generation;
        int window = windows.getOrDefault(queue, 1);
        Channel c = s.channels.get(queue);
        takes.add(() -> {
            c.basicQos(window, true);
            c.basicConsume(queue, false, queue, new DefaultConsumer(c) {
                @Override
                public void handleDelivery(String tag, Envelope e, BasicProperties p, byte[] body) {
                    Delivery d = delivery(queue, e, p, body);
                    onLoop(mine, () -> {
                        if (s.channels.get(queue) == c) {
                            consumer.delivered(d);
                        }
                    });
                }

                @Override
                public void handleCancel(String tag) {
                    onLoop(mine, () -> {
                        LOG.warn("broker {} cancelled the consumer of {}", terms.name(), queue);
                        vertx.setTimer(Math.max(1, Math.round(jitter.next() * 1000)), id -> {
                            if (mine == generation && s.channels.get(queue) == c && !consumer.leaving()) {
                                consume(s, queue);
                            }
                        });
                    });
                }
            });
        });
    }

    private void channelLost(Session s, String queue, Channel c, String why) {
        if (!s.channels.remove(queue, c)) {
            return;
        }
        LOG.warn("the channel of {} at broker {} ended: {}", queue, terms.name(), why);
        consumer.channelLost(queue);
        int mine = generation;
        vertx.setTimer(Math.max(1, Math.round(jitter.next() * 1000)), id -> {
            if (mine == generation && !consumer.leaving()) {
                takes.add(() -> {
                    channel(s, queue, mine);
                    onLoop(mine, () -> consume(s, queue));
                });
            }
        });
    }

    private void on(String queue, ChannelCommand what) {
        Channel c = session == null ? null : session.channels.get(queue);
        if (c != null && !takes.add(() -> what.run(c))) {
            lost("it takes nothing any more");
        }
    }

    private interface ChannelCommand {

        void run(Channel c) throws Exception;
    }

    @Override
    public void prefetch(String queue, int most) {
        windows.put(queue, most);
        on(queue, c -> c.basicQos(most, true));
    }

    @Override
    public void stop(String queue) {
        on(queue, c -> c.basicCancel(queue));
    }

    @Override
    public void acknowledge(String queue, long tag) {
        on(queue, c -> c.basicAck(tag, false));
    }

    @Override
    public void reject(String queue, long tag, boolean back) {
        on(queue, c -> c.basicReject(tag, back));
    }

    @Override
    public void publish(long number, Publication p) {
        Session s = session;
        if (s == null) {
            return;
        }
        Map<String, Object> headers = new LinkedHashMap<>(p.headers());
        headers.put(NUMBER, String.valueOf(number));
        Properties o = p.properties();
        BasicProperties properties = new BasicProperties.Builder().headers(headers).deliveryMode(2)
                .messageId(o.messageId()).correlationId(o.correlationId()).replyTo(o.replyTo()).type(o.type())
                .priority(o.priority() < 0 ? null : o.priority())
                .timestamp(o.timestamp() > 0 ? new Date(Math.round(o.timestamp() * 1000)) : null)
                .expiration(p.delay() > 0 ? String.valueOf(Math.round(p.delay() * 1000)) : null).build();
        if (!puts.add(() -> {
            s.unconfirmed.put(s.copies.getNextPublishSeqNo(), number);
            s.copies.basicPublish(p.exchange(), p.routingKey(), true, properties, p.body());
        })) {
            lost("it takes no messages any more");
        }
    }
}
