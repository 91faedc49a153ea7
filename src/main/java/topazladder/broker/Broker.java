package topazladder.broker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import topazladder.broker.Ledger.What;
import topazladder.broker.Message.Props;
import topazladder.service.Scheduler;

/**
 * A stand-in for a broker of AMQP 0-9-1, written from the specification and without I/O: exchanges, queues, channels,
 * acknowledgements, redelivery, confirms. Where the specification leaves it open it does as is usual: messages that go
 * back keep their old place, a prefetch with the global flag is of its channel, dead-lettering and time to live are
 * arguments of a queue.
 */
public final class Broker {

    /** Why an operation failed, with the code that the specification gives it. */
    public static final class Refused extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final int code;

        Refused(int code, String text) {
            super(text);
            this.code = code;
        }

        public int code() {
            return code;
        }
    }

    /** A consumer's side. */
    public interface Deliver {

        void deliver(String consumerTag, long tag, boolean redelivered, Message m);
    }

    private record Binding(String queue, String key, Map<String, Object> arguments) {
    }

    private static final class Exchange {
        final String type;
        final List<Binding> bindings = new ArrayList<>();

        Exchange(String type) {
            this.type = type;
        }
    }

    /** A message on a queue, with its place in it. */
    private static final class Waiting {
        final Message message;
        final long place;
        final double expires;
        boolean redelivered;

        Waiting(Message message, long place, double expires) {
            this.message = message;
            this.place = place;
            this.expires = expires;
        }
    }

    private static final class Queue {
        final String name;
        final Map<String, Object> arguments;
        final boolean durable;
        final TreeMap<Long, Waiting> ready = new TreeMap<>();
        final Deque<Consumer> consumers = new ArrayDeque<>(); // served in turn

        Queue(String name, Map<String, Object> arguments, boolean durable) {
            this.name = name;
            this.arguments = arguments;
            this.durable = durable;
        }
    }

    private record Consumer(Channel channel, String tag, String queue, boolean noAck, Deliver deliver) {
    }

    private record Unacknowledged(Queue queue, Waiting waiting, long delivery, Consumer consumer) {
    }

    /** One channel of one connection. */
    public final class Channel {
        private final Map<Long, Unacknowledged> out = new TreeMap<>();
        private final Map<String, Consumer> consumers = new LinkedHashMap<>();
        private final String who;
        private int prefetch; // 0 for no bound
        private long lastTag;
        private boolean flowing = true;
        private boolean closed;

        Channel(String who) {
            this.who = who;
        }

        public void prefetch(int most) {
            prefetch = most;
            consumers.values().stream().map(Consumer::queue).distinct().toList().forEach(Broker.this::serve);
        }

        public void flow(boolean on) {
            flowing = on;
            prefetch(prefetch);
        }

        public void consume(String queue, String tag, boolean noAck, Deliver deliver) {
            Queue q = need(queue);
            if (consumers.containsKey(tag)) {
                throw new Refused(530, "consumer tag in use: " + tag);
            }
            Consumer c = new Consumer(this, tag, queue, noAck, deliver);
            consumers.put(tag, c);
            q.consumers.add(c);
            serve(queue);
        }

        /** What is out stays out. */
        public void cancel(String tag) {
            Consumer c = consumers.remove(tag);
            if (c != null && queues.containsKey(c.queue())) {
                queues.get(c.queue()).consumers.remove(c);
            }
        }

        /** @param what for the ledger */
        private List<Unacknowledged> take(long tag, boolean multiple, What what) {
            List<Unacknowledged> taken = new ArrayList<>();
            if (multiple) {
                for (long t : new ArrayList<>(out.keySet())) {
                    if (t <= tag || tag == 0) {
                        taken.add(out.remove(t));
                    }
                }
            } else if (out.containsKey(tag)) {
                taken.add(out.remove(tag));
            }
            if (taken.isEmpty() && !(multiple && tag == 0)) {
                throw new Refused(406, "unknown delivery tag " + tag);
            }
            taken.forEach(u -> ledger.write(now(), u.waiting().message.id(), u.delivery(), what, who));
            return taken;
        }

        public void acknowledge(long tag, boolean multiple) {
            take(tag, multiple, What.ACKNOWLEDGED).forEach(u -> serve(u.queue().name));
            serveAll();
        }

        public void reject(long tag, boolean multiple, boolean back) {
            List<Unacknowledged> taken = take(tag, multiple, back ? What.RETURNED : What.REJECTED);
            for (Unacknowledged u : taken) {
                if (back) {
                    putBack(u);
                } else {
                    deadLetter(u.queue(), u.waiting().message, "rejected");
                }
            }
            serveAll();
        }

        /** As its connection ends, or an error ends it: what is out goes back, and is told apart by its flag. */
        public void close() {
            if (closed) {
                return;
            }
            closed = true;
            new ArrayList<>(consumers.keySet()).forEach(this::cancel);
            List<Unacknowledged> lost = new ArrayList<>(out.values());
            out.clear();
            for (Unacknowledged u : lost) {
                ledger.write(now(), u.waiting().message.id(), u.delivery(), What.LINK_LOST, who);
                putBack(u);
            }
            serveAll();
        }

        public int out() {
            return out.size();
        }
    }

    private final DoubleSupplier clock;
    private final Scheduler timers;
    private final Ledger ledger;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final Map<String, Queue> queues = new LinkedHashMap<>();
    private long lastMessage;
    private long lastPlace;
    private long lastDelivery;

    public Broker(DoubleSupplier clock, Scheduler timers, Ledger ledger) {
        this.clock = clock;
        this.timers = timers;
        this.ledger = ledger;
        for (String type : List.of("direct", "topic", "fanout", "headers")) {
            exchanges.put("amq." + type, new Exchange(type));
        }
        exchanges.put("", new Exchange("direct"));
    }

    private double now() {
        return clock.getAsDouble();
    }

    public Channel channel(String who) {
        return new Channel(who);
    }

    // ---- Topology

    public void declareExchange(String name, String type, boolean passive) {
        Exchange had = exchanges.get(name);
        if (had == null) {
            if (passive) {
                throw new Refused(404, "no exchange '" + name + "'");
            }
            if (!List.of("direct", "topic", "fanout", "headers").contains(type)) {
                throw new Refused(503, "unknown exchange type '" + type + "'");
            }
            exchanges.put(name, new Exchange(type));
        } else if (!passive && !had.type.equals(type)) {
            throw new Refused(406, "exchange '" + name + "' is of type " + had.type);
        }
    }

    public void declareQueue(String name, Map<String, Object> arguments, boolean durable, boolean passive) {
        Queue had = queues.get(name);
        if (had == null) {
            if (passive) {
                throw new Refused(404, "no queue '" + name + "'");
            }
            queues.put(name, new Queue(name, arguments, durable));
            exchanges.get("").bindings.add(new Binding(name, name, Map.of()));
        } else if (!passive && !had.arguments.equals(arguments)) {
            throw new Refused(406, "queue '" + name + "' has other arguments");
        }
    }

    public void bind(String queue, String exchange, String key, Map<String, Object> arguments) {
        need(queue);
        Exchange e = exchanges.get(exchange);
        if (e == null) {
            throw new Refused(404, "no exchange '" + exchange + "'");
        }
        Binding b = new Binding(queue, key, arguments);
        if (!e.bindings.contains(b)) {
            e.bindings.add(b);
        }
    }

    /** A queue that goes cancels its consumers; whoever calls tells them. */
    public List<String> deleteQueue(String name) {
        Queue q = queues.remove(name);
        if (q == null) {
            return List.of();
        }
        exchanges.values().forEach(e -> e.bindings.removeIf(b -> b.queue().equals(name)));
        List<String> tags = q.consumers.stream().map(Consumer::tag).toList();
        q.consumers.forEach(c -> c.channel().consumers.remove(c.tag()));
        return tags;
    }

    /** The messages that wait on it, oldest first, for whoever audits. */
    public List<Message> waiting(String queue) {
        return need(queue).ready.values().stream().map(w -> w.message).toList();
    }

    public int ready(String queue) {
        return need(queue).ready.size();
    }

    public int consumers(String queue) {
        return need(queue).consumers.size();
    }

    /** What a restart leaves of it: durable queues, with their messages, out or not; all channels are closed before. */
    public void forgetTransient() {
        queues.values().stream().filter(q -> !q.durable).map(q -> q.name).toList().forEach(this::deleteQueue);
    }

    private Queue need(String queue) {
        Queue q = queues.get(queue);
        if (q == null) {
            throw new Refused(404, "no queue '" + queue + "'");
        }
        return q;
    }

    // ---- Messages

    /** Returns whether any queue took it. */
    public boolean publish(String exchange, String key, Map<String, Object> headers, Props props, byte[] body) {
        return publish(new Message(++lastMessage, exchange, key, headers, props, body));
    }

    private boolean publish(Message m) {
        Exchange e = exchanges.get(m.exchange());
        if (e == null) {
            throw new Refused(404, "no exchange '" + m.exchange() + "'");
        }
        Set<String> to = new LinkedHashSet<>();
        for (Binding b : e.bindings) {
            if (matches(e.type, b, m)) {
                to.add(b.queue());
            }
        }
        ledger.write(now(), m.id(), 0, What.PUBLISHED, m.exchange() + "/" + m.routingKey() + " to " + to);
        for (String name : to) {
            enqueue(queues.get(name), m);
        }
        return !to.isEmpty();
    }

    private static boolean matches(String type, Binding b, Message m) {
        return switch (type) {
            case "fanout" -> true;
            case "direct" -> b.key().equals(m.routingKey());
            case "topic" -> topic(b.key().split("\\.", -1), 0, m.routingKey().split("\\.", -1), 0);
            default -> {
                boolean any = "any".equals(b.arguments().get("x-match"));
                List<Map.Entry<String, Object>> wanted = b.arguments().entrySet().stream()
                        .filter(e -> !e.getKey().startsWith("x-")).toList();
                yield any ? wanted.stream().anyMatch(e -> e.getValue().equals(m.headers().get(e.getKey())))
                        : wanted.stream().allMatch(e -> e.getValue().equals(m.headers().get(e.getKey())));
            }
        };
    }

    /** A star stands for one word, a hash for any number. */
    static boolean topic(String[] pattern, int p, String[] words, int w) {
        if (p == pattern.length) {
            return w == words.length;
        }
        if (pattern[p].equals("#")) {
            for (int i = w; i <= words.length; i++) {
                if (topic(pattern, p + 1, words, i)) {
                    return true;
                }
            }
            return false;
        }
        return w < words.length && (pattern[p].equals("*") || pattern[p].equals(words[w]))
                && topic(pattern, p + 1, words, w + 1);
    }

    private void enqueue(Queue q, Message m) {
        double expires = Double.POSITIVE_INFINITY;
        if (m.props().expiration() != null) {
            expires = Math.min(expires, now() + Double.parseDouble(m.props().expiration()) / 1000);
        }
        if (q.arguments.get("x-message-ttl")instanceof Number ttl) {
            expires = Math.min(expires, now() + ttl.doubleValue() / 1000);
        }
        Waiting w = new Waiting(m, ++lastPlace, expires);
        q.ready.put(w.place, w);
        if (q.arguments.get("x-max-length")instanceof Number most && q.ready.size() > most.intValue()) {
            Waiting oldest = q.ready.pollFirstEntry().getValue();
            ledger.write(now(), oldest.message.id(), 0, What.DROPPED, q.name);
            deadLetter(q, oldest.message, "maxlen");
        }
        if (expires < Double.POSITIVE_INFINITY) {
            timers.schedule(expires - now(), () -> expire(q));
        }
        serve(q.name);
    }

    private void expire(Queue q) {
        for (Waiting w : new ArrayList<>(q.ready.values())) {
            if (w.expires <= now() + 1e-9) {
                q.ready.remove(w.place);
                ledger.write(now(), w.message.id(), 0, What.EXPIRED, q.name);
                deadLetter(q, w.message, "expired");
            }
        }
    }

    private void deadLetter(Queue q, Message m, String reason) {
        if (!(q.arguments.get("x-dead-letter-exchange")instanceof String exchange)
                || !exchanges.containsKey(exchange)) {
            ledger.write(now(), m.id(), 0, What.DROPPED, q.name + " " + reason);
            return;
        }
        String key = q.arguments.get("x-dead-letter-routing-key")instanceof String k ? k : m.routingKey();
        Map<String, Object> headers = new LinkedHashMap<>(m.headers());
        headers.put("x-death", deaths(m.headers().get("x-death"), q.name, reason, m));
        Props p = m.props();
        // Its time to live ended here: kept, it would end again at once where it goes.
        Props props = new Props(p.contentType(), p.deliveryMode(), p.priority(), p.correlationId(), p.replyTo(), null,
                p.messageId(), p.timestamp(), p.type(), p.userId(), p.appId());
        ledger.write(now(), m.id(), 0, What.DEAD_LETTERED, exchange + "/" + key);
        publish(m.with(m.id(), exchange, key, headers, props));
    }

    private static List<Object> deaths(Object before, String queue, String reason, Message m) {
        List<Object> all = new ArrayList<>();
        Map<String, Object> mine = new LinkedHashMap<>(Map.of("queue", queue, "reason", reason, "count", 1L,
                "exchange", m.exchange()));
        if (before instanceof List<?> list) {
            for (Object o : list) {
                if (o instanceof Map<?, ?> d && queue.equals(d.get("queue")) && reason.equals(d.get("reason"))) {
                    mine.put("count", ((Number) d.get("count")).longValue() + 1);
                } else {
                    all.add(o);
                }
            }
        }
        all.add(0, mine);
        return all;
    }

    private void putBack(Unacknowledged u) {
        if (queues.get(u.queue().name) == u.queue()) {
            u.waiting().redelivered = true;
            u.queue().ready.put(u.waiting().place, u.waiting());
        }
    }

    private void serveAll() {
        new ArrayList<>(queues.keySet()).forEach(this::serve);
    }

    private void serve(String name) {
        Queue q = queues.get(name);
        while (q != null && !q.ready.isEmpty()) {
            Consumer c = q.consumers.stream().filter(k -> k.channel().flowing && !k.channel().closed && (k.noAck()
                    || k.channel().prefetch == 0 || k.channel().out.size() < k.channel().prefetch)).findFirst()
                    .orElse(null);
            if (c == null) {
                return;
            }
            q.consumers.remove(c);
            q.consumers.addLast(c);
            Waiting w = q.ready.pollFirstEntry().getValue();
            if (w.expires <= now()) {
                ledger.write(now(), w.message.id(), 0, What.EXPIRED, q.name);
                deadLetter(q, w.message, "expired");
                continue;
            }
            long tag = ++c.channel().lastTag;
            long delivery = ++lastDelivery;
            ledger.write(now(), w.message.id(), delivery, What.DELIVERED, c.channel().who + (w.redelivered
                    ? " again" : ""));
            if (c.noAck()) {
                ledger.write(now(), w.message.id(), delivery, What.ACKNOWLEDGED, "at once");
            } else {
                c.channel().out.put(tag, new Unacknowledged(q, w, delivery, c));
            }
            c.deliver().deliver(c.tag(), tag, w.redelivered, w.message);
        }
    }
}
