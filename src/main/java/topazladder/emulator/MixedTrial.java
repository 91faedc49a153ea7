package topazladder.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import topazladder.broker.Broker;
import topazladder.broker.Ledger;
import topazladder.broker.Message.Props;
import topazladder.config.FieldSource;
import topazladder.config.QueueSettings;
import topazladder.config.QueueSettings.Fields;
import topazladder.config.SettingsReader;
import topazladder.delivery.Consumer;
import topazladder.delivery.RandomRequestIds;
import topazladder.emulator.Traffic.Wanted;
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
 * One instance at half as much again as its cores can do, with the same requests twice: once all by callers, and once
 * half of them by a broker. Of callers' requests what is served in its soft limit counts; of deliveries, for which
 * nobody
 * waits at a connection, what is served while the load lasts.
 */
public final class MixedTrial {
    private static final double LOAD = 1.5;
    private static final double CORES = 6;
    private static final double LASTS = 60;

    private final Timeline time = new Timeline(1_000_000);
    private final Map<String, Wanted> wanted = new HashMap<>();
    private final Map<String, Double> sentAt = new HashMap<>();
    private final double[] asked = new double[2];
    private final double[] earned = new double[2];

    private final boolean byBroker;

    private MixedTrial(boolean byBroker) {
        this.byBroker = byBroker;
    }

    /**
     * Payoff served of what was asked for: all mixed, all alone, callers' half mixed and alone, the rest mixed and
     * alone.
     */
    public static double[] play(long seed) {
        MixedTrial mixed = new MixedTrial(true);
        MixedTrial alone = new MixedTrial(false);
        mixed.run(seed);
        alone.run(seed);
        return new double[] {mixed.share(0, 1), alone.share(0, 1), mixed.share(0), alone.share(0), mixed.share(1),
                alone.share(1)};
    }

    private double share(int... halves) {
        double a = 0;
        double e = 0;
        for (int h : halves) {
            a += asked[h];
            e += earned[h];
        }
        return e / a;
    }

    private final class Machine implements RuntimePort, ClientConnections, Runtime.Listener {
        final Runtime runtime = new Runtime(time, time, new Runtime.Shape(CORES, 1, 1, 1, 2), false, this);
        final Calls calls = new Calls(time, new Below(time, time, 12), "");
        final SettingsReader terms = SettingsReader.ofLines(PeerTrial.SETTINGS);
        final Counters counters = new Counters();
        final RequestDispatcher dispatcher = new RequestDispatcher(time, terms, this, calls, this, time, counters);
        final Map<String, String> names = new HashMap<>(); // ref to the request's name

        Machine(long seed) {
            calls.answerTo(dispatcher);
            InstanceLifecycle instance = new InstanceLifecycle("n", seed, 10, time, dispatcher, this, time, () -> {});
            instance.listenersOpened();
            instance.runtimeConnected(false);
        }

        @Override
        public void start(String ref, String requestClass, byte[] body) {
            names.put(ref, MixedTrial.name(body));
            runtime.start(ref, body);
        }

        @Override
        public void resumeWithReply(String ref, byte[] reply) {
            runtime.goOn(ref, false);
        }

        @Override
        public void resumeWithoutReply(String ref, long notice) {
            runtime.goOn(ref, true);
        }

        @Override
        public void requestGauges() {
            time.schedule(0.001, () -> dispatcher.gaugesReceived(runtime.gauges()));
        }

        @Override
        public void requestHealthCheck(long tag) {
            dispatcher.healthCheckCompleted(tag, true);
        }

        @Override
        public void ended(String ref, Outcome how, double elapsed, byte[] result) {
            String name = names.remove(ref);
            Wanted w = wanted.get(name);
            boolean inTime = time.getAsDouble() - sentAt.get(name) <= w.kind().requestClass().latencyObjectiveSeconds();
            if (w != null && (inTime || byBroker && half(name) == 1 && time.getAsDouble() <= 1_000_000 + LASTS)) {
                wanted.remove(name); // earned once
                boolean poorer = result[0] == 'p';
                earned[half(name)] += w.kind().requestClass().priorityWeight()
                        * (poorer ? w.kind().requestClass().degradedValueShare() : 1);
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
            return 0;
        }
    }

    private static String name(byte[] body) {
        String text = new String(body);
        return text.substring(text.lastIndexOf(' ') + 1);
    }

    private static int half(String name) {
        return Integer.parseInt(name) % 2;
    }

    private void run(long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Machine machine = new Machine(seed);
        List<Traffic.Kind> kinds = PeerTrial.kinds(machine.terms, 1);
        Traffic traffic = new Traffic(chance.split(), kinds);
        SplittableRandom habits = chance.split();
        Broker broker = new Broker(time, time, new Ledger(false));
        List<QueueSettings> queues = new ArrayList<>();
        for (Traffic.Kind k : kinds) {
            String queue = k.requestClass().name();
            broker.declareQueue(queue, Map.of(), true, false);
            queues.add(new QueueSettings(queue,
                    new Fields(FieldSource.of("", "queue"), null, FieldSource.of("", "property:message-id"),
                            FieldSource.of("", "header:rank"), FieldSource.of("", "=10"), false),
                    64, 8, 10_000, null, null, 20, true));
        }
        if (byBroker) {
            VirtualLink link = new VirtualLink("n", time, broker, chance.split(), queues.stream()
                    .map(QueueSettings::queue).toList());
            Consumer consumer = new Consumer(time, time, machine.dispatcher, machine.counters,
                    new RandomRequestIds(chance.split()), link,
                    machine.terms, queues);
            link.open(consumer);
            look(consumer);
        }
        double rate = LOAD * CORES / kinds.stream().mapToDouble(k -> k.share() * k.run()).sum();
        next(traffic, habits, rate, machine, broker, 0);
        time.runUntil(1_000_000 + LASTS + 5);
    }

    private void look(Consumer consumer) {
        consumer.look();
        time.schedule(0.25, () -> look(consumer));
    }

    private void next(Traffic traffic, SplittableRandom habits, double rate, Machine machine, Broker broker,
            int number) {
        if (time.getAsDouble() > 1_000_000 + LASTS) {
            return;
        }
        Wanted w = traffic.next();
        boolean heeds = habits.nextDouble() < 0.7;
        String name = String.valueOf(number);
        byte[] work = w.work().body();
        byte[] body = (new String(work) + " " + name).getBytes();
        wanted.put(name, w);
        sentAt.put(name, time.getAsDouble());
        asked[half(name)] += w.kind().requestClass().priorityWeight();
        if (byBroker && half(name) == 1) {
            broker.publish("", w.kind().requestClass().name(), Map.of("rank", w.rank()), new Props(null, 2, null, null,
                    null,
                    null, name, (long) time.getAsDouble(), null, null, null), body);
        } else if (!heeds || w.rank() >= machine.dispatcher.admissionLevel()) {
            String fingerprint = w.kind().requestClass().idempotencyWindowSeconds() > 0 ? name : null;
            double sent = time.getAsDouble();
            machine.runtime.read(0.015,
                    () -> machine.dispatcher.dispatch(new IncomingRequest("c" + name, w.kind().requestClass()
                            .name(), null,
                            sent, false, 10, w.rank(), fingerprint, body), new ResponseListener() {
                                @Override
                                public void onResponse(Response a) {
                                    if (a.status() != Status.SERVED) {
                                        wanted.remove(name);
                                    }
                                }

                                @Override
                                public void onInvalidRequest(Response a) {}

                                @Override
                                public void onHealth(boolean good, AdmissionLevel level) {}
                            }));
        }
        time.schedule(traffic.gap(rate), () -> next(traffic, habits, rate, machine, broker, number + 1));
    }
}
