package topazladder.emulator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import topazladder.broker.Broker;
import topazladder.broker.Ledger;
import topazladder.broker.Message;
import topazladder.broker.Message.Props;
import topazladder.config.FieldSource;
import topazladder.config.QueueSettings;
import topazladder.config.QueueSettings.Fields;
import topazladder.config.QueueSettings.Route;
import topazladder.config.SettingsReader;
import topazladder.delivery.Consumer;
import topazladder.request.Outcome;
import topazladder.service.AdmissionLevel;
import topazladder.service.ClientConnections;
import topazladder.service.Counters;
import topazladder.service.IncomingRequest;
import topazladder.service.InstanceLifecycle;
import topazladder.service.RequestDispatcher;
import topazladder.service.Response;
import topazladder.service.Response.Status;
import topazladder.service.ResponseListener;
import topazladder.service.RuntimePort;

/**
 * Two instances that consume from one broker in virtual time while links break, brokers vanish and instances leave,
 * by a
 * schedule that a seed draws. What ran where is written down by the machines, what became of each delivery by the
 * broker; the audit reads both and nothing of the program's own.
 */
public final class DeliveryTrial {
    private static final double LOAD_FOR = 20;
    private static final double SETTLES = 90;
    private static final double WINDOW = 13.671;
    private static final double GRACE = 2;

    private static final String SETTINGS = """
        Classes.count=3
        Classes.0.Name=stock-check
        Classes.0.Idempotency=safe
        Classes.0.TargetNs=1800000000
        Classes.0.DeadlineNs=4600000000
        Classes.1.Name=order-place
        Classes.1.Idempotency=keyed
        Classes.1.WindowNs=13671000000
        Classes.1.TargetNs=1800000000
        Classes.1.DeadlineNs=4600000000
        Classes.1.Importance=10
        Classes.2.Name=invoice
        Classes.2.Idempotency=unsafe
        Classes.2.TargetNs=1800000000
        Classes.2.DeadlineNs=4600000000
        Classes.2.Importance=10
        Extra.Cores=4
        Safety.DrainGraceNs=2000000000
        """ + Brief.MACHINE;

    /** Where one run began. */
    public record Run(String instance, long message, String requestClass, double at, double arrived) {
    }

    /** What a schedule gave. */
    public record Result(List<String> breaks, Map<String, Integer> counts, List<String> schedule) {
    }

    private final Timeline time = new Timeline(1_000_000);
    private final Ledger ledger = new Ledger();
    private final Broker broker = new Broker(time, time, ledger);
    private final List<Run> runs = new ArrayList<>();
    private final List<String> schedule = new ArrayList<>();
    private final Map<Long, String> published = new LinkedHashMap<>(); // number to request class
    private final Set<Long> servedToCallers = new HashSet<>();
    private final Set<Long> done = new HashSet<>(); // a run of it passed
    private final List<Worker> workers = new ArrayList<>();
    private final SplittableRandom chance;
    /** Of what happens beside the notice to leave, so that it moves no other draw. */
    private final SplittableRandom besideLeaving;
    private long lastNumber;

    private DeliveryTrial(long seed) {
        chance = new SplittableRandom(seed);
        besideLeaving = new SplittableRandom(~seed);
    }

    /** One instance with its machine, its dependency and its link. */
    private final class Worker implements RuntimePort, ClientConnections, Runtime.Listener {
        final String name;
        final Runtime runtime;
        final Calls calls;
        final RequestDispatcher dispatcher;
        final InstanceLifecycle instance;
        final Counters counters = new Counters();
        final VirtualLink link;
        final Consumer consumer;
        final Map<String, Double> arrived = new HashMap<>();
        final Map<String, byte[]> bodies = new HashMap<>();
        double leftAt = Double.POSITIVE_INFINITY;
        boolean over;

        Worker(String name, SplittableRandom own) {
            this.name = name;
            runtime = new Runtime(time, time, new Runtime.Shape(4, 1, 1, 1, 3), false, this);
            calls = new Calls(time, new Below(time, time, 4), "");
            dispatcher =
                    new RequestDispatcher(time, SettingsReader.ofLines(SETTINGS), this, calls, this, time, counters);
            calls.answerTo(dispatcher);
            instance = new InstanceLifecycle(name, own.nextLong(), 6, time, dispatcher, this, time, () -> over = true);
            instance.listenersOpened();
            instance.runtimeConnected(false);
            link = new VirtualLink(name, time, broker, own.split(), List.of("orders", "stock"));
            consumer =
                    new Consumer(time, time, dispatcher, counters, own.split(), link, SettingsReader.ofLines(SETTINGS),
                            List.of(terms("orders"), terms("stock")));
            link.open(consumer);
            look();
        }

        private void look() {
            if (!over) {
                consumer.look();
                time.schedule(0.25, this::look);
            }
        }

        void leave() {
            leftAt = time.getAsDouble();
            instance.shutdown();
            consumer.leave();
        }

        @Override
        public void start(String ref, String requestClass, byte[] body) {
            long number = number(body);
            runs.add(new Run(name, number, requestClass, time.getAsDouble(), arrived.getOrDefault(ref,
                    time.getAsDouble())));
            bodies.put(ref, body);
            time.schedule(0.0005, () -> runtime.start(ref, body));
        }

        @Override
        public void resumeWithReply(String ref, byte[] reply) {
            time.schedule(0.0005, () -> runtime.goOn(ref, false));
        }

        @Override
        public void resumeWithoutReply(String ref, long notice) {
            time.schedule(0.0005, () -> runtime.goOn(ref, true));
        }

        @Override
        public void requestGauges() {
            time.schedule(0.001, () -> dispatcher.gaugesReceived(runtime.gauges()));
        }

        @Override
        public void requestHealthCheck(long tag) {
            time.schedule(0.001, () -> dispatcher.healthCheckCompleted(tag, true));
        }

        @Override
        public void ended(String ref, Outcome how, double elapsed, byte[] result) {
            if (how == Outcome.SUCCEEDED) {
                done.add(number(bodies.get(ref)));
            }
            time.schedule(0.0005, () -> dispatcher.runEnded(ref, how, elapsed, result));
        }

        @Override
        public void wants(String ref, long notice, byte[] body) {
            calls.wanted(ref, notice, body);
        }

        @Override
        public void closeIdle(double seconds) {}

        @Override
        public void stopAccepting() {}

        @Override
        public int openConnections() {
            return consumer.open();
        }
    }

    private static QueueSettings terms(String queue) {
        return new QueueSettings(queue,
                new Fields(FieldSource.of("", "header:offering"), null, FieldSource.of("", "header:mark"),
                        null, null,
                        false),
                16, 6, 4000, new Route("later", queue), new Route("dead", queue), 20, true);
    }

    private static long number(byte[] body) {
        return Long.parseLong(new String(body, StandardCharsets.US_ASCII).split(" ")[2]);
    }

    /** Plays one schedule; with faults off the same load passes undisturbed. */
    public static Result play(long seed, boolean faults) {
        return new DeliveryTrial(seed).run(faults);
    }

    private Result run(boolean faults) {
        broker.declareExchange("in", "topic", false);
        broker.declareExchange("later", "direct", false);
        broker.declareExchange("dead", "fanout", false);
        broker.declareExchange("again", "direct", false);
        broker.declareQueue("dead", Map.of(), true, false);
        broker.bind("dead", "dead", "", Map.of());
        for (String queue : List.of("orders", "stock")) {
            broker.declareQueue(queue, Map.of(), true, false);
            broker.bind(queue, "in", queue + ".#", Map.of());
            broker.bind(queue, "again", queue, Map.of());
            broker.declareQueue(queue + ".later", Map.of("x-dead-letter-exchange", "again",
                    "x-dead-letter-routing-key", queue), true, false);
            broker.bind(queue + ".later", "later", queue, Map.of());
        }
        broker.declareQueue("answers", Map.of(), true, false);
        if (chance.nextInt(4) == 0) {
            for (int i = 0; i < 60; i++) {
                publish(); // a backlog waits when the first consumer comes
            }
        }
        double start = time.getAsDouble();
        workers.add(new Worker("a", chance.split()));
        workers.add(new Worker("b", chance.split()));
        double rate = 4 + chance.nextDouble() * 20;
        load(start + LOAD_FOR, rate);
        if (faults) {
            int count = 1 + chance.nextInt(6);
            for (int i = 0; i < count; i++) {
                fault(chance.nextDouble() * LOAD_FOR);
            }
            if (chance.nextInt(3) == 0) {
                double at = 4 + chance.nextDouble() * (LOAD_FOR - 4);
                note(at, "a leaves");
                time.schedule(at, () -> workers.get(0).leave());
                if (chance.nextBoolean()) {
                    vanish(at + chance.nextDouble() * 3, 0.2 + 3 * chance.nextDouble());
                }
                if (besideLeaving.nextBoolean()) {
                    redeliverToOneThatLeaves(at);
                }
            }
        }
        time.runUntil(start + LOAD_FOR + SETTLES);
        List<String> breaks = audit();
        Map<String, Integer> counts = new LinkedHashMap<>();
        counts.put("published", published.size());
        counts.put("runs", runs.size());
        counts.put("dead", broker.ready("dead"));
        counts.put("waiting", left());
        counts.put("answers", broker.ready("answers"));
        counts.put("lost deliveries", (int) ledger.entries().stream().filter(e -> e.what() == Ledger.What.LINK_LOST)
                .count());
        return new Result(breaks, counts, schedule);
    }

    private void note(double at, String what) {
        schedule.add(String.format(Locale.ROOT, "%7.3f  %s", at, what));
    }

    private void load(double until, double rate) {
        if (time.getAsDouble() < until) {
            time.schedule(-StrictMath.log(1 - chance.nextDouble()) / rate, () -> {
                publish();
                load(until, rate);
            });
        }
    }

    private void publish() {
        long number = ++lastNumber;
        int kind = chance.nextInt(10);
        String requestClass = kind < 5 ? "stock-check" : kind < 8 ? "order-place" : "invoice";
        String queue = requestClass.equals("stock-check") ? "stock" : "orders";
        byte[] body = String.format(Locale.ROOT, "%.4f %.4f %d", 0.05 + 0.3 * chance.nextDouble(),
                chance.nextInt(3) == 0 ? 0.05 : 0, number).getBytes(StandardCharsets.US_ASCII);
        Map<String, Object> headers = new LinkedHashMap<>(Map.of("offering", requestClass, "mark", "m" + number));
        Props props = new Props(null, 2, null, "c" + number, chance.nextInt(3) == 0 ? "answers" : null, null, "id"
                + number,
                // Some publishers' clocks are wrong by a day.
                (long) time.getAsDouble() + (chance.nextInt(5) == 0 ? 86_400 : 0), null, null, null);
        published.put(number, requestClass);
        if (chance.nextInt(40) == 0) {
            headers.put("offering", "unheard-of"); // a message that nobody can map
        }
        broker.publish("in", queue + ".new", headers, props, body);
        if (requestClass.equals("order-place") && chance.nextInt(6) == 0) {
            if (chance.nextBoolean()) {
                // The publisher heard no confirmation and sends it again.
                time.schedule(chance.nextDouble() * 5,
                        () -> broker.publish("in", queue + ".new", headers, props, body));
            } else {
                // The same order comes on a caller's connection as well.
                time.schedule(chance.nextDouble(), () -> callersOrder(number, body));
            }
        }
    }

    private void callersOrder(long number, byte[] body) {
        Worker to = workers.get(chance.nextInt(workers.size()));
        if (to.over) {
            return;
        }
        String ref = "caller" + number;
        to.arrived.put(ref, time.getAsDouble());
        to.dispatcher.dispatch(
                new IncomingRequest(ref, "order-place", null, time.getAsDouble(), false, 10, 0.5, "m" + number,
                        body),
                new ResponseListener() {
                    @Override
                    public void onResponse(Response a) {
                        if (a.status() == Status.SERVED) {
                            servedToCallers.add(number);
                        }
                    }

                    @Override
                    public void onInvalidRequest(Response a) {}

                    @Override
                    public void onHealth(boolean good, AdmissionLevel level) {}
                });
    }

    private void fault(double at) {
        Worker w = workers.get(chance.nextInt(2));
        switch (chance.nextInt(6)) {
            case 0 -> {
                note(at, "link of " + w.name + " breaks, both ends notice at once");
                time.schedule(at, () -> w.link.cut(0, 0));
            }
            case 1 -> {
                double b = chance.nextDouble() * 4;
                note(at, String.format(Locale.ROOT, "link of %s is half open, the broker notices %.1f s later",
                        w.name, b));
                time.schedule(at, () -> w.link.cut(b, 0));
            }
            case 2 -> {
                double c = chance.nextDouble() * 4;
                note(at, String.format(Locale.ROOT, "link of %s is half open, the instance notices %.1f s later",
                        w.name, c));
                time.schedule(at, () -> w.link.cut(0, c));
            }
            case 3 -> vanish(at, 0.2 + 6 * chance.nextDouble());
            case 4 -> {
                String queue = chance.nextBoolean() ? "orders" : "stock";
                note(at, "channel of " + queue + " at " + w.name + " ends with an error");
                time.schedule(at, () -> w.link.channelError(queue));
            }
            default -> {
                double slow = 0.05 + chance.nextDouble();
                note(at, String.format(Locale.ROOT, "link of %s takes %.2f s a message for a second", w.name, slow));
                time.schedule(at, () -> w.link.slow(slow));
                time.schedule(at + 1, () -> w.link.slow(0.001));
            }
        }
    }

    /** What the other one had out is brought to the one that leaves, about as it leaves. */
    private void redeliverToOneThatLeaves(double leavesAt) {
        double slow = 0.02 + 0.1 * besideLeaving.nextDouble();
        double cutAt = leavesAt - 2 * slow * besideLeaving.nextDouble();
        note(cutAt, String.format(Locale.ROOT, "link of b breaks, and that of a takes %.2f s a message", slow));
        time.schedule(cutAt, () -> {
            workers.get(0).link.slow(slow);
            workers.get(1).link.cut(0, 0);
        });
    }

    private void vanish(double at, double seconds) {
        note(at, String.format(Locale.ROOT, "the broker vanishes for %.1f s", seconds));
        time.schedule(at, () -> workers.forEach(w -> {
            w.link.brokerIs(false);
            w.link.cut(0, 0);
        }));
        time.schedule(at + seconds, () -> workers.forEach(w -> w.link.brokerIs(true)));
    }

    private int left() {
        return broker.ready("orders") + broker.ready("stock") + broker.ready("orders.later")
                + broker.ready("stock.later");
    }

    private List<String> audit() {
        List<String> breaks = new ArrayList<>();
        ledger.deliveriesWithoutExactlyOneEnd().forEach(d -> breaks.add("a delivery without exactly one end: " + d));
        Map<String, List<Run>> byWhat = new LinkedHashMap<>();
        for (Run r : runs) {
            String one = r.requestClass().equals("invoice") ? "message " + r.message() : r.instance() + " message "
                    + r.message();
            byWhat.computeIfAbsent(one, k -> new ArrayList<>()).add(r);
        }
        byWhat.forEach((what, all) -> {
            for (int i = 1; i < all.size(); i++) {
                Run first = all.get(i - 1);
                Run second = all.get(i);
                if (second.requestClass().equals("invoice")
                        || second.requestClass().equals("order-place") && second.at() - first.at() < WINDOW) {
                    breaks.add("a second run of " + what + ": " + first + ", " + second);
                }
            }
        });
        for (Worker w : workers) {
            runs.stream().filter(r -> r.instance().equals(w.name) && r.at() > w.leftAt + GRACE + 0.2
                    && r.arrived() > w.leftAt + GRACE).forEach(r -> breaks.add("run past the grace: " + r));
            if (w.consumer.open() > 0 || w.link.ledgerOut() > 0) {
                breaks.add(w.name + " still holds " + w.consumer.open() + " deliveries");
            }
        }
        Set<Long> there = new HashSet<>();
        for (String queue : List.of("dead", "orders", "stock", "orders.later", "stock.later")) {
            for (Message m : broker.waiting(queue)) {
                there.add(number(m.body()));
            }
        }
        published.forEach((number, requestClass) -> {
            if (!done.contains(number) && !there.contains(number)) {
                breaks.add("message " + number + ", " + requestClass + ", is gone and never ran to its end");
            }
        });
        return breaks;
    }
}
