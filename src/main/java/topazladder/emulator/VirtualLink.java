package topazladder.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import topazladder.broker.Broker;
import topazladder.broker.Broker.Channel;
import topazladder.broker.Broker.Refused;
import topazladder.broker.Message;
import topazladder.broker.Message.Props;
import topazladder.delivery.BrokerPort;
import topazladder.delivery.Consumer;
import topazladder.delivery.DeathHeader;
import topazladder.delivery.Delivery;
import topazladder.delivery.Delivery.Properties;
import topazladder.delivery.FullJitter;

/**
 * A link between a consumer and the stand-in broker in virtual time: ordered both ways, each message late by a while,
 * and cut at any moment, when all that is under way is lost. The two ends may notice a cut at different times.
 */
final class VirtualLink implements BrokerPort {
    private static final double RETRY_SECONDS = 0.0001;

    private final String who;
    private final Timeline time;
    private final Broker broker;
    private final RandomGenerator chance;
    private final FullJitter jitter;
    private final List<String> queues;
    private Consumer consumer;
    private Map<String, Channel> channels = new LinkedHashMap<>();
    private final Map<String, Integer> windows = new HashMap<>();
    private int generation;
    private boolean clientSees;
    private boolean brokerUp = true;
    private boolean keepsWhatIsOnItsWay;
    private int onItsWayToClient;
    private boolean over;
    private double latency = 0.001;
    private double lastToBroker;
    private double lastToClient;

    VirtualLink(String who, Timeline time, Broker broker, RandomGenerator chance, List<String> queues) {
        this.who = who;
        this.time = time;
        this.broker = broker;
        this.chance = chance;
        this.queues = queues;
        jitter = new FullJitter(0.1, 5, chance);
    }

    void open(Consumer to) {
        consumer = to;
        connect();
    }

    void slow(double seconds) {
        latency = seconds;
    }

    void brokerIs(boolean up) {
        brokerUp = up;
    }

    /** The instance is gone for good; the broker notices after its own time. */
    void crash(double brokerNotices) {
        over = true;
        clientSees = false;
        generation++;
        List<Channel> old = new ArrayList<>(channels.values());
        channels = new LinkedHashMap<>();
        time.schedule(brokerNotices, () -> old.forEach(Channel::close));
    }

    int ledgerOut() {
        return channels.values().stream().mapToInt(Channel::out).sum();
    }

    private void connect() {
        if (over) {
            return;
        }
        if (!brokerUp) {
            time.schedule(jitter.next(), this::connect);
            return;
        }
        jitter.reset();
        generation++;
        clientSees = true;
        channels = new LinkedHashMap<>();
        lastToBroker = 0;
        lastToClient = 0;
        for (String queue : queues) {
            open(queue);
        }
    }

    private void open(String queue) {
        Channel c = broker.channel(who);
        channels.put(queue, c);
        int mine = generation;
        c.prefetch(windows.getOrDefault(queue, 1));
        if (!consumer.leaving()) {
            c.consume(queue, who + "/" + queue, false, (consumerTag, tag, again, m) -> toClient(mine, () -> {
                if (channels.get(queue) == c) {
                    consumer.delivered(delivery(queue, tag, again, m));
                }
            }));
        }
    }

    /** The link breaks now; each end notices after its own time. */
    void cut(double brokerNotices, double clientNotices) {
        if (!clientSees || isPostponed(() -> cut(brokerNotices, clientNotices))) {
            return;
        }
        int mine = ++generation;
        List<Channel> old = new ArrayList<>(channels.values());
        channels = new LinkedHashMap<>();
        time.schedule(brokerNotices, () -> old.forEach(Channel::close));
        time.schedule(clientNotices, () -> {
            if (mine == generation) {
                clientSees = false;
                consumer.linkLost();
                time.schedule(jitter.next(), this::connect);
            }
        });
    }

    /** One channel ends with an error; the others go on. */
    void channelError(String queue) {
        if (isPostponed(() -> channelError(queue))) {
            return;
        }
        Channel c = channels.remove(queue);
        if (c != null) {
            c.close();
            int mine = generation;
            time.schedule(latency, () -> {
                if (mine == generation) {
                    consumer.channelLost(queue);
                    open(queue);
                }
            });
        }
    }

    /** From now on it breaks only in moments in which nothing is on its way to the consumer. */
    void keepWhatIsOnItsWay() {
        keepsWhatIsOnItsWay = true;
    }

    private boolean isPostponed(Runnable harm) {
        boolean postponed = keepsWhatIsOnItsWay && onItsWayToClient > 0;
        if (postponed) {
            time.schedule(RETRY_SECONDS, harm);
        }
        return postponed;
    }

    private void toClient(int mine, Runnable what) {
        onItsWayToClient++;
        lastToClient = Math.max(lastToClient, time.getAsDouble() + latency * (0.5 + chance.nextDouble()));
        time.schedule(lastToClient - time.getAsDouble(), () -> {
            onItsWayToClient--;
            if (mine == generation) {
                what.run();
            }
        });
    }

    private void toBroker(Runnable what) {
        if (!clientSees) {
            return;
        }
        int mine = generation;
        lastToBroker = Math.max(lastToBroker, time.getAsDouble() + latency * (0.5 + chance.nextDouble()));
        time.schedule(lastToBroker - time.getAsDouble(), () -> {
            if (mine == generation) {
                what.run();
            }
        });
    }

    private void on(String queue, java.util.function.Consumer<Channel> what) {
        Channel c = channels.get(queue);
        if (c != null) {
            toBroker(() -> {
                if (channels.get(queue) == c) {
                    what.accept(c);
                }
            });
        }
    }

    private static Delivery delivery(String queue, long tag, boolean again, Message m) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (Map.Entry<String, Object> h : m.headers().entrySet()) {
            if (!h.getKey().equals(DeathHeader.NAME)) {
                headers.put(h.getKey(), String.valueOf(h.getValue()));
            }
        }
        Props p = m.props();
        return new Delivery(queue, tag, again, m.exchange(), m.routingKey(), headers, new Properties(p.messageId(),
                p.correlationId(), p.replyTo(), p.type(), p.expiration() == null ? 0
                        : Double.parseDouble(p.expiration()) / 1000,
                p.timestamp() == null ? 0 : p.timestamp(), p.priority() == null ? -1 : p.priority()),
                DeathHeader.rejections(m.headers().get(DeathHeader.NAME)), m.body());
    }

    // ---- The port

    @Override
    public void prefetch(String queue, int most) {
        windows.put(queue, most);
        on(queue, c -> c.prefetch(most));
    }

    @Override
    public void stop(String queue) {
        on(queue, c -> c.cancel(who + "/" + queue));
    }

    @Override
    public void acknowledge(String queue, long tag) {
        on(queue, c -> c.acknowledge(tag, false));
    }

    @Override
    public void reject(String queue, long tag, boolean back) {
        on(queue, c -> c.reject(tag, false, back));
    }

    @Override
    public void publish(long number, Publication p) {
        int mine = generation;
        toBroker(() -> {
            boolean ok;
            try {
                Props props = new Props(null, 2, p.properties().priority() < 0 ? null : p.properties().priority(),
                        p.properties().correlationId(), p.properties().replyTo(),
                        p.delay() > 0 ? String.valueOf(Math.round(p.delay() * 1000)) : null, p.properties().messageId(),
                        p.properties().timestamp() > 0 ? (long) p.properties().timestamp() : null, p.properties()
                                .type(),
                        null, null);
                ok = broker.publish(p.exchange(), p.routingKey(), new LinkedHashMap<>(p.headers()), props, p.body());
            } catch (Refused e) {
                ok = false;
            }
            boolean told = ok;
            toClient(mine, () -> consumer.published(number, told));
        });
    }
}
