package topazladder.emulator;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import topazladder.config.SettingsReader;
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
 * One instance of the program in virtual time, the program's own objects from the dispatcher inwards, with a runtime
 * and callers of its own. It counts what its callers got, by windows.
 */
final class Branch implements RuntimePort, ClientConnections, Runtime.Listener {
    private static final double LINK = Calls.LINK;
    /** Callers heed a level for a second. */
    private static final double HEEDED = 1;
    private static final double FOOTPRINT_KB = 10;

    private final String name;
    private final Timeline time;
    private final Calls calls;
    private final Runtime runtime;
    private final RequestDispatcher dispatcher;
    private final InstanceLifecycle instance;
    private final Traffic traffic;
    private final RandomGenerator habits;
    private final double rate;
    private final double heed;
    private final double retries;
    private final double end;
    private final double window;
    private final double from;
    private final double[] asked;
    private final double[] earned;
    private final double reading;
    /** Whom callers try next; the list of all that serve, this one among them. */
    private final List<Branch> all;
    private double level;
    private double heardAt = Double.NEGATIVE_INFINITY;
    private long refs;
    private double crowd;
    private double worstCrowd;

    /**
     * @param rate requests a second that callers want answered
     * @param heed part of the callers that heed the level
     * @param retries part of the callers that try another server after a deferral, once
     * @param reading core-seconds that reading a request takes
     */
    record Plan(SettingsReader terms, Runtime.Shape shape, boolean cold, List<Traffic.Kind> kinds, double rate,
            double heed,
            double retries, double reading, double from, double end, double window, long seed) {
    }

    Branch(String name, Timeline time, Below below, Plan plan, List<Branch> all) {
        this.all = all;
        reading = plan.reading();
        this.name = name;
        this.time = time;
        calls = new Calls(time, below, name);
        rate = plan.rate();
        heed = plan.heed();
        retries = plan.retries();
        from = plan.from();
        end = plan.end();
        window = plan.window();
        asked = new double[(int) Math.ceil((end - from) / window)];
        earned = new double[asked.length];
        SplittableRandom chance = new SplittableRandom(plan.seed());
        traffic = new Traffic(chance.split(), plan.kinds());
        habits = chance.split();
        runtime = new Runtime(time, time, plan.shape(), plan.cold(), this);
        dispatcher = new RequestDispatcher(time, plan.terms(), this, calls, this, time, new Counters());
        calls.answerTo(dispatcher);
        instance = new InstanceLifecycle(name, plan.seed(), 10, time, dispatcher, this, time, () -> {});
        instance.listenersOpened();
        instance.runtimeConnected(plan.cold());
        time.schedule(0, this::next);
        look();
    }

    RequestDispatcher exchange() {
        return dispatcher;
    }

    /** Payoff asked for and earned, by windows from the start of the count. */
    double[] asked() {
        return asked.clone();
    }

    double[] earned() {
        return earned.clone();
    }

    /** Runs on each core, in the worst mean of two seconds. */
    double worstCrowd() {
        return worstCrowd;
    }

    private void look() {
        crowd += (runtime.running() - crowd) * 0.05;
        worstCrowd = Math.max(worstCrowd, crowd);
        time.schedule(0.1, this::look);
    }

    private void next() {
        if (time.getAsDouble() >= end) {
            return;
        }
        Wanted w = traffic.next();
        boolean heeds = habits.nextDouble() < heed;
        int at = window(time.getAsDouble());
        if (at >= 0) {
            asked[at] += w.kind().requestClass().priorityWeight();
        }
        if (!heeds || time.getAsDouble() - heardAt > HEEDED || w.rank() >= level) {
            String fingerprint = w.kind().requestClass().idempotencyWindowSeconds() > 0 ? name + "f" + refs : null;
            send(this, w, fingerprint, time.getAsDouble(), at, false);
        }
        time.schedule(traffic.gap(rate), this::next);
    }

    private int window(double now) {
        int at = (int) Math.floor((now - from) / window);
        return now < from || at >= asked.length ? -1 : at;
    }

    private void send(Branch to, Wanted w, String fingerprint, double first, int at, boolean retry) {
        String ref = name + refs++;
        double sent = time.getAsDouble();
        to.take(new IncomingRequest(ref, w.kind().requestClass().name(), null, sent, retry, FOOTPRINT_KB, w.rank(),
                fingerprint,
                w.work().body()), a -> answered(to, a, w, fingerprint, first, at, retry));
    }

    /** A request that somebody sends now; reading it takes the cores. Its answer comes a link's time later. */
    void take(IncomingRequest arrival, Consumer<Response> then) {
        time.schedule(LINK, () -> runtime.read(reading, () -> dispatcher.dispatch(arrival, new ResponseListener() {
            @Override
            public void onResponse(Response a) {
                time.schedule(LINK, () -> then.accept(a));
            }

            @Override
            public void onInvalidRequest(Response a) {
                throw new IllegalStateException("the emulator sent what can't be decided on");
            }

            @Override
            public void onHealth(boolean good, AdmissionLevel heard) {}
        })));
    }

    private void answered(Branch by, Response a, Wanted w, String fingerprint, double first, int at, boolean retry) {
        by.level = a.admissionLevel().value();
        by.heardAt = time.getAsDouble();
        double took = time.getAsDouble() - first;
        if (a.status() == Status.SERVED && took <= w.kind().requestClass().latencyObjectiveSeconds()) {
            boolean poorer = new String(a.body(), StandardCharsets.US_ASCII).startsWith("poorer");
            if (at >= 0) {
                earned[at] += w.kind().requestClass().priorityWeight()
                        * (poorer ? w.kind().requestClass().degradedValueShare() : 1);
            }
        } else if (a.status() == Status.REJECTED && !retry && !a.doNotRetryElsewhere()
                && habits.nextDouble() < retries) {
            List<Branch> others = all.stream().filter(b -> b != by).toList();
            Branch next = others.isEmpty() ? by : others.get(habits.nextInt(others.size()));
            time.schedule(0.02, () -> send(next, w, fingerprint, first, at, true));
        }
    }

    // ---- The runtime

    @Override
    public void start(String ref, String requestClass, byte[] body) {
        time.schedule(LINK, () -> runtime.start(ref, body));
    }

    @Override
    public void resumeWithReply(String ref, byte[] reply) {
        time.schedule(LINK, () -> runtime.goOn(ref, false));
    }

    @Override
    public void resumeWithoutReply(String ref, long notice) {
        time.schedule(LINK, () -> runtime.goOn(ref, true));
    }

    @Override
    public void requestGauges() {
        time.schedule(2 * LINK, () -> dispatcher.gaugesReceived(runtime.gauges()));
    }

    @Override
    public void requestHealthCheck(long tag) {
        time.schedule(2 * LINK, () -> dispatcher.healthCheckCompleted(tag, true));
    }

    @Override
    public void ended(String ref, Outcome how, double elapsed, byte[] result) {
        time.schedule(LINK, () -> dispatcher.runEnded(ref, how, elapsed, result));
    }

    @Override
    public void wants(String ref, long notice, byte[] body) {
        calls.wanted(ref, notice, body);
    }

    // ---- Callers' connections

    @Override
    public void closeIdle(double seconds) {}

    @Override
    public void stopAccepting() {}

    @Override
    public int openConnections() {
        return 0;
    }
}
