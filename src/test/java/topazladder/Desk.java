package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import topazladder.admission.AdmissionController;
import topazladder.config.SettingsReader;
import topazladder.request.Decision;
import topazladder.request.Decision.What;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Repeats;
import topazladder.service.AdmissionLevel;
import topazladder.service.ClientConnections;
import topazladder.service.Counters;
import topazladder.service.DependencyPort;
import topazladder.service.InFlightRequest;
import topazladder.service.IncomingRequest;
import topazladder.service.InstanceLifecycle;
import topazladder.service.RequestDispatcher;
import topazladder.service.Response;
import topazladder.service.ResponseListener;
import topazladder.service.RuntimePort;
import topazladder.service.Scheduler;

/** One Admission controller behind a desk that writes down each happening and what was ruled on it. */
final class Desk {
    static final RequestClass READ = new RequestClass("read", Repeats.RETRY_SAFE, 2, 5, 1, 0, 0, true, 0.5);
    static final RequestClass PLACE = new RequestClass("place", Repeats.IDEMPOTENT_BY_KEY, 2, 5, 10, 0, 12, true, 0);
    static final RequestClass LATE = new RequestClass("late", Repeats.IDEMPOTENT_BY_KEY, 2, 5, 10, 0.5, 12, true, 0);
    static final RequestClass ISSUE = new RequestClass("issue", Repeats.AT_MOST_ONCE, 2, 5, 10, 0, 0, true, 0);

    private final Map<String, Object> terms = new LinkedHashMap<>(Map.of("cores", 1.0, "memory", 1000.0,
            "run-factor", 8.0, "fingerprint-footprint", 50.0, "tick", 0.1, "drain-grace", 1.0,
            "fall-multiple", 8.0, "stay-away", true, "stay-away-most", 1.0, "level-unit", "min_rank"));
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<Request, String> names = new LinkedHashMap<>();
    private final Set<Request> started = new LinkedHashSet<>();
    private final Set<Request> calling = new LinkedHashSet<>();
    private final StringBuilder trace = new StringBuilder();
    private final Map<String, Double> gauges = new LinkedHashMap<>(Map.of("core-use", 1.0));
    private AdmissionController admissionController;
    private double now;

    Desk with(String name, Object value) {
        terms.put(name, value);
        return this;
    }

    Desk open() {
        terms.putIfAbsent("offerings", List.of(READ, PLACE, LATE, ISSUE));
        admissionController = new AdmissionController(new SplittableRandom(1), terms);
        write("start", admissionController.start(0));
        return this;
    }

    Desk gauge(String name, double value) {
        gauges.put(name, value);
        return this;
    }

    Desk at(double time) {
        now = time;
        return this;
    }

    Desk arrive(String name, RequestClass requestClass) {
        return arrive(name, requestClass, 0.3, 0, null);
    }

    Desk arrive(String name, RequestClass requestClass, double rank, double waited, String repeats) {
        Request request = new Request(requestClass, null, requestClass.priorityWeight() > 1 ? 0.5 + rank / 2 : rank, 10,
                waited, 0,
                repeats != null, repeats != null, requests.get(repeats));
        requests.put(name, request);
        names.put(request, name);
        String how = waited > 0 ? " after " + seconds(waited) + " unread" : "";
        write(name + " arrives" + how + (repeats != null ? ", repeating " + repeats : ""),
                admissionController.requestArrived(now, request));
        return this;
    }

    Desk wantsCall(String name) {
        write(name + " wants a call", admissionController.dependencyCallRequested(now, requests.get(name)));
        return this;
    }

    Desk callEnds(String name, Outcome ending) {
        return callEnds(name, ending, 0.1);
    }

    Desk callEnds(String name, Outcome ending, double took) {
        write("call of " + name + " ends " + ending,
                admissionController.dependencyCallEnded(now, requests.get(name), ending, took));
        return this;
    }

    /** Plays what only leads up to a scene, and leaves it out of the trace. */
    Desk quietly(Consumer<Desk> scene) {
        int length = trace.length();
        scene.accept(this);
        trace.setLength(length);
        return this;
    }

    /** Two requests for each that one core finishes, their ranks spread evenly; only what the level does is kept. */
    Desk flood(double seconds, double run) {
        for (int i = 0; now < seconds; i++) {
            String name = "f" + i;
            double rank = (i * 7 % 20) / 20.0;
            quietly(d -> d.arrive(name, READ, rank, 0, null).arrive(name + "b", READ, rank, 0, null));
            until(now + run);
            for (Request running : List.copyOf(started)) {
                quietly(d -> d.runEnds(names.get(running), Outcome.SUCCEEDED));
            }
        }
        return this;
    }

    Desk runEnds(String name, Outcome ending) {
        started.remove(requests.get(name));
        write("run of " + name + " ends " + ending, admissionController.runEnded(now, requests.get(name), ending, 0.4));
        return this;
    }

    /**
     * Requests of all kinds, runs, calls and their ends as chance has them: what a seed plays is the same each time.
     */
    Desk play(long seed, int steps) {
        RandomGenerator chance = new SplittableRandom(seed);
        RequestClass[] kinds = {READ, PLACE, LATE, ISSUE};
        for (int i = 0; i < steps; i++) {
            until(now + chance.nextInt(3) * 0.1);
            List<Request> running = started.stream().filter(admissionController::isInFlight).toList();
            List<Request> waiting = calling.stream().filter(admissionController::isInFlight).toList();
            int what = chance.nextInt(10);
            if (what < 4 || running.isEmpty() && waiting.isEmpty()) {
                arrive("t" + i, kinds[chance.nextInt(4)], chance.nextDouble(), 0, null);
            } else if (what < 6 && !waiting.isEmpty()) {
                Request request = waiting.get(chance.nextInt(waiting.size()));
                Outcome[] ends =
                        {Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.REJECTED, Outcome.FAILED};
                calling.remove(request);
                started.add(request);
                callEnds(names.get(request), ends[chance.nextInt(5)], 0.05 + chance.nextDouble());
            } else if (!running.isEmpty()) {
                Request request = running.get(chance.nextInt(running.size()));
                if (what < 8) {
                    started.remove(request);
                    wantsCall(names.get(request));
                } else {
                    runEnds(names.get(request), Outcome.SUCCEEDED);
                }
            }
        }
        return this;
    }

    /** Takes what another server learned. */
    Desk learn(Kind kind, String subject, double value, double weight) {
        write("learns " + kind + " " + subject + " " + value,
                admissionController.learn(now, List.of(new LearnedEstimate(kind, subject, value, weight, 0))));
        return this;
    }

    Desk tells() {
        StringBuilder all = new StringBuilder("tells");
        admissionController.learnedEstimates(now)
                .forEach(l -> all.append(String.format(Locale.ROOT, " %s %s %.2f of %.0f", l.kind(),
                        l.subject(), l.value(), l.weight())));
        write(all.toString(), List.of());
        return this;
    }

    Desk callerGone(String name) {
        write("caller of " + name + " gone", admissionController.callerDisconnected(now, requests.get(name)));
        return this;
    }

    Desk leave(double left) {
        write("leave within " + seconds(left), admissionController.drain(now, left));
        return this;
    }

    /** Lets the timers run up to a time; those that rule nothing are not written down. */
    Desk until(double time) {
        while (now + 0.1 <= time + 1e-9) {
            now += 0.1;
            List<Decision> decisions = admissionController.tick(now, gauges);
            if (decisions.size() > 1) {
                write("timer", decisions);
            }
        }
        return this;
    }

    void matches(String name) {
        matches(name, trace.toString());
    }

    /** What was played is left in target/traces, to be read and kept where a change is meant. */
    static void matches(String name, String played) {
        try (InputStream kept = Desk.class.getResourceAsStream("/traces/" + name + ".txt")) {
            Files.createDirectories(Path.of("target/traces"));
            Files.writeString(Path.of("target/traces", name + ".txt"), played);
            assertThat(kept).as("trace kept for " + name).isNotNull();
            assertThat(played).isEqualTo(new String(kept.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(String happening, List<Decision> decisions) {
        trace.append(String.format(Locale.ROOT, "%6.2f  %s\n", now, happening));
        for (Decision r : decisions) {
            if (r.what() != What.WAKE) {
                trace.append("          ").append(text(r)).append('\n');
            }
            if (r.what() == What.START) {
                started.add(r.request());
            } else if (r.what() == What.CALL) {
                calling.add(r.request());
            }
        }
    }

    private String text(Decision r) {
        String what = r.what().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        String request = r.request() == null ? "" : " " + names.get(r.request());
        return what + request + switch (r.what()) {
            case DEFER -> (r.number() > 0 ? ", back in " + seconds(r.number()) : "")
                    + (r.yes() ? ", not elsewhere" : "");
            case CALL, REMEMBER -> " for " + seconds(r.number());
            case POST -> String.format(Locale.ROOT, " %.3f", r.number());
            case CLOSE_IDLE -> " after " + seconds(r.number());
            case HEALTH -> r.yes() ? " good" : " bad";
            case NOTE -> " " + r.text();
            default -> "";
        };
    }

    private static String seconds(double s) {
        return String.format(Locale.ROOT, "%.2f s", s);
    }
}

/** One dispatcher with stand-ins for all round it and a clock of its own, which writes down what passes through. */
final class Floor implements RuntimePort, DependencyPort, ClientConnections, Scheduler {
    static final String SETTINGS = """
        Classes.count=3
        Classes.0.Name=read
        Classes.0.Idempotency=safe
        Classes.0.TargetNs=2000000000
        Classes.0.DeadlineNs=5000000000
        Classes.1.Name=place
        Classes.1.Idempotency=keyed
        Classes.1.WindowNs=12000000000
        Classes.1.TargetNs=2000000000
        Classes.1.DeadlineNs=5000000000
        Classes.1.Importance=10
        Classes.2.Name=check
        Classes.2.Idempotency=safe
        Classes.2.TargetNs=2000000000
        Classes.2.DeadlineNs=5000000000
        Extra.CallsByClass=true,true,true
        Extra.ClassSkipWorth=0,0,0.5
        Extra.Below=next_hop
        Extra.Cores=2
        Extra.MemoryKb=100000
        Extra.RunFactor=8
        Extra.Say=min_rank
        Extra.OwnStats=core_use,on_cores
        Orgs.count=1
        Orgs.0.Name=acme
        PolicyLimits.RetryAfter=true
        PolicyLimits.MaxRetryAfterNs=1000000000
        Safety.AnswerSlackNs=400000000
        Safety.DrainGraceNs=1000000000
        Safety.FallMultiple=8
        """;
    private record Due(double at, int order, Runnable what) {
    }

    private final PriorityQueue<Due> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingInt(Due::order));
    private final Map<String, InFlightRequest> requests = new LinkedHashMap<>();
    private final StringBuilder trace = new StringBuilder();
    private final Counters counters = new Counters();
    private final RequestDispatcher dispatcher;
    private final InstanceLifecycle instance;
    private double now = 1000;
    private int order;
    private boolean quiet;
    private boolean deaf;
    private String broken; // whoever has this name can't be answered

    Floor() {
        this(SETTINGS);
    }

    Floor(String settings) {
        dispatcher =
                new RequestDispatcher(() -> now, SettingsReader.ofLines(settings), this, this, this, this, counters);
        instance = new InstanceLifecycle("n1", 1, 4, () -> now, dispatcher, this, this, () -> write("  exit"));
    }

    Floor open() {
        return does("listens", instance::listenersOpened).does("runtime is up", () -> instance.runtimeConnected(false));
    }

    Floor listens() {
        return does("listens", instance::listenersOpened);
    }

    Floor arrive(String name, String requestClass, String fingerprint) {
        return arrive(name, requestClass, fingerprint, now, "acme");
    }

    Floor arrive(String name, String requestClass, String fingerprint, double since, String tenant) {
        return arrive(name, requestClass, fingerprint, since, tenant, "");
    }

    Floor arrive(String name, String requestClass, String fingerprint, double since, String tenant, String body) {
        String how = (fingerprint == null ? "" : " with " + fingerprint) + (body.isEmpty() ? "" : " and " + body);
        return does(name + " arrives" + how, () -> {
            InFlightRequest h = dispatcher
                    .dispatch(new IncomingRequest(name, requestClass, tenant, since, false, 10, 0.5, fingerprint,
                            body.getBytes(StandardCharsets.UTF_8)), caller(name));
            requests.put(name, h);
        });
    }

    Floor gone(String name) {
        return does("caller of " + name + " is gone", () -> dispatcher.callerDisconnected(requests.get(name)));
    }

    Floor ends(String name, Outcome how, String result) {
        return does("run of " + name + " ends " + how,
                () -> dispatcher.runEnded(name, how, 0.4, result.getBytes(StandardCharsets.UTF_8)));
    }

    Floor endsWith(String name, int bytes) {
        return does("run of " + name + " ends",
                () -> dispatcher.runEnded(name, Outcome.SUCCEEDED, 0.4, new byte[bytes]));
    }

    Floor wants(String name, long notice) {
        return does(name + " wants a call", () -> dispatcher.dependencyCallRequested(name, notice, new byte[3]));
    }

    Floor replies(String name, Outcome how) {
        return does("call of " + name + " ends " + how, () -> dispatcher.dependencyCallEnded(name, how, new byte[2]));
    }

    Floor nacked(String name) {
        return does("start of " + name + " is not carried out", () -> dispatcher.commandRefused(name));
    }

    Floor check(String name, boolean deep) {
        return does((deep ? "deep check " : "check ") + name, () -> dispatcher.healthCheck(caller(name), deep));
    }

    Floor verdict(long tag, boolean passed) {
        return does("verdict " + tag, () -> dispatcher.healthCheckCompleted(tag, passed));
    }

    Floor linkLost() {
        deaf = true;
        return does("the link to the runtime is lost", dispatcher::runtimeDisconnected);
    }

    /** After a new link, that the runtime read the start is not known. */
    Floor doubtful(String name) {
        return does("start of " + name + " is in doubt", () -> dispatcher.startUncertain(name));
    }

    /** From here on a fault of the program comes up whenever this one is answered. */
    Floor breaksOn(String name) {
        broken = name;
        return this;
    }

    Floor inFlight() {
        return does(dispatcher.toString(), () -> {});
    }

    Floor leave() {
        return does("notice to leave", instance::shutdown);
    }

    /** Lets the timers run up to a time from the start. */
    Floor until(double time) {
        while (!timers.isEmpty() && timers.peek().at() <= 1000 + time) {
            Due due = timers.poll();
            now = Math.max(now, due.at());
            due.what().run();
        }
        now = 1000 + time;
        return this;
    }

    /** The machine stands still, so that timers come late. */
    Floor pause(double time) {
        now = 1000 + time;
        return this;
    }

    Floor quietly(Consumer<Floor> scene) {
        quiet = true;
        scene.accept(this);
        quiet = false;
        return this;
    }

    Floor countsAndPhase() {
        return does(counters + "; " + instance.phase(), () -> {});
    }

    void matches(String name) {
        Desk.matches(name, trace.toString());
    }

    private Floor does(String happening, Runnable what) {
        write(happening);
        what.run();
        return this;
    }

    private void write(String line) {
        if (!quiet) {
            trace.append(String.format(Locale.ROOT, "%6.2f  %s\n", now - 1000, line));
        }
    }

    private ResponseListener caller(String name) {
        return new ResponseListener() {
            @Override
            public void onResponse(Response a) {
                if (name.equals(broken)) {
                    throw new IllegalStateException("a fault, as the test wants it");
                }
                write("  " + name + " " + a.status().name().toLowerCase(Locale.ROOT).replace('_', ' ')
                        + (a.body().length > 0 && a.body().length < 99 ? " " + new String(a.body()) : "")
                        + (a.body().length >= 99 ? " " + a.body().length + " bytes" : "")
                        + (a.retryAfterSeconds() > 0 ? ", stay away" : "")
                        + (a.doNotRetryElsewhere() ? ", not elsewhere" : ""));
            }

            @Override
            public void onInvalidRequest(Response a) {
                write("  " + name + " is unusable");
            }

            @Override
            public void onHealth(boolean good, AdmissionLevel level) {
                write("  " + name + " is " + (good ? "good" : "bad"));
            }
        };
    }

    @Override
    public void start(String ref, String requestClass, byte[] body) {
        write("  start " + ref);
    }

    @Override
    public void resumeWithReply(String ref, byte[] reply) {
        write("  give " + ref + " " + reply.length + " bytes");
    }

    @Override
    public void resumeWithoutReply(String ref, long notice) {
        write("  omit the call of notice " + notice + " for " + ref);
    }

    @Override
    public void requestGauges() {
        if (!deaf) {
            dispatcher.gaugesReceived(new double[] {1, 2});
        }
    }

    @Override
    public void requestHealthCheck(long tag) {
        write("  does work get done? " + tag);
    }

    @Override
    public void call(String ref, double patience, boolean repeatable, byte[] body) {
        write(String.format(Locale.ROOT, "  call for %s, %d bytes, %.1f s", ref, body.length, patience));
    }

    @Override
    public void cancel(String ref) {
        write("  give up the call of " + ref);
    }

    @Override
    public void closeIdle(double seconds) {
        write("  close idle");
    }

    @Override
    public void stopAccepting() {
        write("  last call");
    }

    @Override
    public int openConnections() {
        return 1;
    }

    @Override
    public void schedule(double seconds, Runnable what) {
        timers.add(new Due(now + seconds, order++, what));
    }
}
