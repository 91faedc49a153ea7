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
import java.util.function.Supplier;
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
import topazladder.delivery.DeathHeader;
import topazladder.delivery.RandomRequestIds;
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
 * Two instances that consume from one broker in virtual time while links break, brokers vanish, more comes than both
 * can run, and instances leave or crash and start anew, by a schedule that a seed draws. Some messages had been
 * rejected elsewhere before, and some dead letters are sent again. What ran where is written down by the machines,
 * what became of each delivery by the broker; {@link DeliveryAudit} reads both.
 */
public final class DeliveryTrial {
    private static final double LOAD_FOR = 20;
    private static final double SETTLES = 90;
    private static final double GRACE = 2;
    private static final double SHORTEST_RUN = 0.05;
    private static final double SHORTEST_RUN_UNDER_OVERLOAD = 0.6;
    private static final double OVERLOAD_RATE = 30;
    /** The last dead letters are sent again in time for what becomes of them. */
    private static final double DEAD_LETTERS_SENT_UNTIL = 40;

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

    private static final long HISTORIES_SEED = 0x5DEECE66DL << 8;
    private static final long CRASHES_SEED = 0x9E3779B9L << 16;
    private static final long OVERLOADS_SEED = 0x6C078965L << 24;

    /** What a schedule gave. */
    public record Result(List<String> breaks, Map<String, Integer> counts, List<String> schedule) {
    }

    private final Timeline time = new Timeline(1_000_000);
    private final Ledger ledger = new Ledger();
    private final Broker broker = new Broker(time, time, ledger);
    private final List<DeliveryAudit.Run> runs = new ArrayList<>();
    private final List<String> schedule = new ArrayList<>();
    private final Map<Long, String> published = new LinkedHashMap<>(); // number to request class
    private final Set<Long> servedToCallers = new HashSet<>();
    private final Set<Long> done = new HashSet<>(); // a run of it passed
    private final List<Worker> workers = new ArrayList<>();
    private final SplittableRandom chance;
    /** Of what happens beside the notice to leave, so that it moves no other draw. */
    private final SplittableRandom besideLeaving;
    /** Of what became of messages before and becomes of them afterwards; this and those below for the same reason. */
    private final SplittableRandom histories;
    private final SplittableRandom crashes;
    private final SplittableRandom overloads;
    private final DeadLetterOperator deadLetterOperator = new DeadLetterOperator(broker, "dead");
    private final boolean delaysStock;
    /**
     * Whether only the first instance consumes, and dead letters are sent again as their publisher had sent them. One
     * of which nobody saw the first delivery can't be told from its original then, so links lose none on the way.
     */
    private final boolean alone;
    private boolean brokerUp = true;
    private long lastNumber;

    private DeliveryTrial(long seed) {
        chance = new SplittableRandom(seed);
        besideLeaving = new SplittableRandom(~seed);
        histories = new SplittableRandom(seed ^ HISTORIES_SEED);
        crashes = new SplittableRandom(seed ^ CRASHES_SEED);
        overloads = new SplittableRandom(seed ^ OVERLOADS_SEED);
        delaysStock = histories.nextInt(4) > 0;
        alone = histories.nextInt(3) == 0;
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
        /** When each delivery reached this instance, by the id of its request. */
        final Map<String, Double> deliveredAt = new HashMap<>();
        double leftAt = Double.POSITIVE_INFINITY;
        boolean over;
        boolean crashed;

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
            link = new VirtualLink(name, time, broker, own.split(),
                    alone && !name.equals("a") ? List.of() : List.of("orders", "stock"));
            consumer =
                    new Consumer(time, time, dispatcher, counters, recordedIds(own.split()), link,
                            SettingsReader.ofLines(SETTINGS),
                            List.of(terms("orders", true), terms("stock", delaysStock)));
            link.brokerIs(brokerUp);
            if (alone) {
                link.keepWhatIsOnItsWay();
            }
            link.open(consumer);
            look();
        }

        private Supplier<String> recordedIds(SplittableRandom random) {
            RandomRequestIds ids = new RandomRequestIds(random);
            return () -> {
                String id = ids.get();
                deliveredAt.put(id, time.getAsDouble());
                return id;
            };
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

        /** Its process ends at once; the runtime is another, and goes on with what it runs. */
        void crash(double brokerNotices) {
            over = true;
            crashed = true;
            link.crash(brokerNotices);
        }

        @Override
        public void start(String ref, String requestClass, byte[] body) {
            if (crashed) {
                return;
            }
            long number = number(body);
            double now = time.getAsDouble();
            double arrivedAt = arrived.getOrDefault(ref, now);
            runs.add(new DeliveryAudit.Run(name, number, requestClass, now, arrivedAt,
                    deliveredAt.getOrDefault(ref, arrivedAt)));
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

    private static QueueSettings terms(String queue, boolean delays) {
        return new QueueSettings(queue,
                new Fields(FieldSource.of("", "header:offering"), null, FieldSource.of("", "header:mark"),
                        null, null,
                        false),
                16, 6, 4000, delays ? new Route("later", queue) : null, new Route("dead", queue), 20, true);
    }

    private static long number(byte[] body) {
        return Long.parseLong(new String(body, StandardCharsets.US_ASCII).split(" ")[2]);
    }

    /** Plays one schedule; with faults off the same load passes undisturbed. */
    public static Result play(long seed, boolean faults) {
        return new DeliveryTrial(seed).run(faults);
    }

    private Result run(boolean faults) {
        declareTopology();
        if (chance.nextInt(4) == 0) {
            for (int i = 0; i < 60; i++) {
                publish(chance, SHORTEST_RUN); // a backlog waits when the first consumer comes
            }
        }
        double start = time.getAsDouble();
        workers.add(new Worker("a", chance.split()));
        workers.add(new Worker("b", chance.split()));
        double rate = 4 + chance.nextDouble() * 20;
        load(chance, start + LOAD_FOR, rate, SHORTEST_RUN);
        if (faults) {
            sendDeadLettersAgain();
            if (crashes.nextInt(3) == 0) {
                crash(crashes.nextDouble() * LOAD_FOR, crashes.nextDouble() * 2, 0.5 + 3 * crashes.nextDouble());
            }
            if (overloads.nextBoolean()) {
                overload(start, overloads.nextDouble() * LOAD_FOR, 2 + 6 * overloads.nextDouble());
            }
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
        List<String> breaks = new DeliveryAudit(ledger, runs, published).breaks(holders(), done, messagesThere());
        Map<String, Integer> counts = new LinkedHashMap<>();
        counts.put("published", published.size());
        counts.put("runs", runs.size());
        counts.put("dead", broker.ready("dead"));
        counts.put("waiting", left());
        counts.put("answers", broker.ready("answers"));
        counts.put("delayed copies", (int) ledger.entries().stream().filter(e -> e.what() == Ledger.What.EXPIRED)
                .count());
        counts.put("lost deliveries", (int) ledger.entries().stream().filter(e -> e.what() == Ledger.What.LINK_LOST)
                .count());
        return new Result(breaks, counts, schedule);
    }

    private void declareTopology() {
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
    }

    private void note(double at, String what) {
        schedule.add(String.format(Locale.ROOT, "%7.3f  %s", at, what));
    }

    private void load(SplittableRandom random, double until, double rate, double shortestRun) {
        if (time.getAsDouble() < until) {
            time.schedule(-StrictMath.log(1 - random.nextDouble()) / rate, () -> {
                publish(random, shortestRun);
                load(random, until, rate, shortestRun);
            });
        }
    }

    private void publish(SplittableRandom random, double shortestRun) {
        long number = ++lastNumber;
        int kind = random.nextInt(10);
        String requestClass = kind < 5 ? "stock-check" : kind < 8 ? "order-place" : "invoice";
        String queue = requestClass.equals("stock-check") ? "stock" : "orders";
        byte[] body = String.format(Locale.ROOT, "%.4f %.4f %d", shortestRun + 0.3 * random.nextDouble(),
                random.nextInt(3) == 0 ? 0.05 : 0, number).getBytes(StandardCharsets.US_ASCII);
        Map<String, Object> headers = new LinkedHashMap<>(Map.of("offering", requestClass, "mark", "m" + number));
        Props props = new Props(null, 2, null, "c" + number, random.nextInt(3) == 0 ? "answers" : null, null, "id"
                + number,
                // Some publishers' clocks are wrong by a day.
                (long) time.getAsDouble() + (random.nextInt(5) == 0 ? 86_400 : 0), null, null, null);
        if (histories.nextInt(4) == 0) {
            headers.put(DeathHeader.NAME, List.of(Map.of("queue", "inbox", "reason", "rejected", "count",
                    1L + histories.nextInt(2), "exchange", "")));
        }
        published.put(number, requestClass);
        if (random.nextInt(40) == 0) {
            headers.put("offering", "unheard-of"); // a message that nobody can map
        }
        broker.publish("in", queue + ".new", headers, props, body);
        if (requestClass.equals("order-place") && random.nextInt(6) == 0) {
            if (random.nextBoolean()) {
                // The publisher heard no confirmation and sends it again.
                time.schedule(random.nextDouble() * 5,
                        () -> broker.publish("in", queue + ".new", headers, props, body));
            } else {
                // The same order comes on a caller's connection as well.
                time.schedule(random.nextDouble(), () -> callersOrder(number, body));
            }
        }
    }

    private void callersOrder(long number, byte[] body) {
        Worker to = workers.get(chance.nextInt(2));
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

    /** So much comes that copies wait, come back and wait for a core, while links break again and again. */
    private void overload(double start, double at, double seconds) {
        note(at, String.format(Locale.ROOT, "more than both can run comes for %.1f s", seconds));
        time.schedule(at, () -> load(overloads, start + at + seconds, OVERLOAD_RATE, SHORTEST_RUN_UNDER_OVERLOAD));
        int cuts = 2 + overloads.nextInt(5);
        for (int i = 0; i < cuts; i++) {
            double cutAt = at + 2 * seconds * overloads.nextDouble();
            Worker w = workers.get(overloads.nextInt(2));
            note(cutAt, "link of " + w.name + " breaks under overload");
            time.schedule(cutAt, () -> w.link.cut(0, 0));
        }
    }

    private void crash(double at, double brokerNotices, double startsAnewAfter) {
        note(at, String.format(Locale.ROOT, "b crashes, the broker notices %.1f s later, it starts anew %.1f s later",
                brokerNotices, startsAnewAfter));
        time.schedule(at, () -> workers.get(1).crash(brokerNotices));
        time.schedule(at + startsAnewAfter, () -> workers.add(new Worker("b anew", crashes.split())));
    }

    /**
     * Links may break just then. What must run once at most or has begun is never sent: nobody could tell whether it
     * had its effect.
     */
    private void sendDeadLettersAgain() {
        double at = histories.nextDouble();
        while (at < DEAD_LETTERS_SENT_UNTIL) {
            time.schedule(at, () -> {
                if (deadLetterOperator.sendAgain(this::neverBegan, "in", alone) > 0
                        && (alone || histories.nextBoolean())) {
                    Worker w = workers.get(alone ? 0 : histories.nextInt(workers.size()));
                    time.schedule(0.5 * histories.nextDouble(), () -> w.link.cut(0, 0));
                }
            });
            at += 0.5 + 2 * histories.nextDouble();
        }
    }

    private boolean neverBegan(Message message) {
        long number = number(message.body());
        return !published.get(number).equals("invoice") && runs.stream().noneMatch(run -> run.message() == number);
    }

    private void vanish(double at, double seconds) {
        note(at, String.format(Locale.ROOT, "the broker vanishes for %.1f s", seconds));
        time.schedule(at, () -> {
            brokerUp = false;
            workers.forEach(w -> {
                w.link.brokerIs(false);
                w.link.cut(0, 0);
            });
        });
        time.schedule(at + seconds, () -> {
            brokerUp = true;
            workers.forEach(w -> w.link.brokerIs(true));
        });
    }

    private List<DeliveryAudit.Holder> holders() {
        return workers.stream().map(w -> new DeliveryAudit.Holder(w.name, w.leftAt + GRACE,
                Math.max(w.link.ledgerOut(), w.crashed ? 0 : w.consumer.open()))).toList();
    }

    /** The numbers of the messages that lie on any queue. */
    private Set<Long> messagesThere() {
        Set<Long> there = new HashSet<>();
        for (String queue : List.of("dead", "orders", "stock", "orders.later", "stock.later")) {
            broker.waiting(queue).forEach(message -> there.add(number(message.body())));
        }
        return there;
    }

    private int left() {
        return broker.ready("orders") + broker.ready("stock") + broker.ready("orders.later")
                + broker.ready("stock.later");
    }
}
