package topazladder;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import topazladder.config.SettingsReader;
import topazladder.request.Outcome;
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
        RecordedTrace.assertMatches(name, trace.toString());
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
