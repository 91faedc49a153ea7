package topazladder.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.admission.AdmissionController;
import topazladder.config.SettingsReader;
import topazladder.request.Decision;
import topazladder.request.LearnedEstimate;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Repeats;
import topazladder.request.Tenant;
import topazladder.service.Counters.Count;
import topazladder.service.IdempotencyStore.Kept;
import topazladder.service.Response.Status;

/**
 * Where the callers' side and the side of runtime and index meet, and nowhere else: it holds the requests in
 * hand, tells the module each happening and carries out its decisions. It decides nothing itself.
 */
public final class RequestDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);
    private static final byte[] NOTHING = {};
    /** Seconds by which a caller's clock may be ahead: it may be set while a request is on its way. */
    private static final double MOST_AHEAD = 1;

    private final DoubleSupplier clock;
    private final SettingsReader terms;
    private final RuntimePort runtime;
    private final DependencyPort index;
    private final ClientConnections callers;
    private final Scheduler timers;
    private final Counters counters;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final double longestLimit;
    private final IdempotencyStore fingerprints = new IdempotencyStore();
    /** All that the module has in hand; emptied after each happening of what it has let go. */
    private final Map<String, InFlightRequest> byRef = new HashMap<>();
    private final Map<Request, InFlightRequest> byRequest = new HashMap<>();
    private final List<InFlightRequest> touched = new ArrayList<>(); // emptied after each happening
    // emptied at once
    private final Deque<Function<AdmissionController, List<Decision>>> happenings = new ArrayDeque<>();
    private boolean telling;
    /** Checks that wait for the runtime's word; emptied by it, or as their callers' connections close. */
    private final Map<Long, ResponseListener> checks = new LinkedHashMap<>();
    private long lastCheck;
    private AdmissionController admissionController;
    private double zero;
    private double latest;
    private AdmissionLevel level = AdmissionLevel.NONE;
    private Boolean health; // null until the module rules on it
    private Map<String, Double> gauges = Map.of();
    private boolean gaugesAwaited;
    private List<LearnedEstimate> early = List.of(); // learned before the module started; emptied as it does
    private double wakePeriod;
    private boolean awake; // no timer is set
    private int owed;
    private double payoffAsked;
    private double payoffServed;

    public RequestDispatcher(DoubleSupplier clock, SettingsReader terms, RuntimePort runtime, DependencyPort index,
            ClientConnections callers,
            Scheduler timers, Counters counters) {
        this.clock = clock;
        this.terms = terms;
        this.runtime = runtime;
        this.index = index;
        this.callers = callers;
        this.timers = timers;
        this.counters = counters;
        terms.requestClasses().forEach(o -> requestClasses.put(o.name(), o));
        terms.tenants().forEach(c -> tenants.put(c.name(), c));
        longestLimit = terms.requestClasses().stream().mapToDouble(RequestClass::deadlineSeconds).max().orElse(0);
    }

    /**
     * The module's time starts here. An empty server may have been up for a while and be warmer than that tells;
     * counted from its own start instead, one that was loaded long ago would have the module trust averages
     * over an hour in which it saw nothing.
     */
    void open(long seed, boolean cold) {
        Map<String, Object> handed = new LinkedHashMap<>(terms.map());
        handed.put("cold", cold);
        admissionController = new AdmissionController(new SplittableRandom(seed), handed);
        zero = clock.getAsDouble();
        tell(b -> b.start(now()));
        applyEstimates(early);
        early = List.of();
    }

    /** What others learned, weighed for this machine; before the module has started it is kept for it. */
    public void applyEstimates(List<LearnedEstimate> facts) {
        if (admissionController == null) {
            early = Stream.concat(early.stream(), facts.stream()).toList();
        } else if (!facts.isEmpty()) {
            counters.add(Count.ESTIMATES_LEARNED, facts.size());
            tell(b -> b.learn(now(), facts));
        }
    }

    /** What the module has learned and would hold on another machine; nothing before it has started. */
    public List<LearnedEstimate> learnedEstimates() {
        return admissionController == null ? List.of() : admissionController.learnedEstimates(now());
    }

    /** Payoff of all requests that were read, and of those that were served, since the start. */
    public ServedValue servedValue() {
        return new ServedValue(payoffAsked, payoffServed);
    }

    /** Requests that were read and are not answered yet. */
    int unansweredRequests() {
        return owed;
    }

    boolean isHealthy() {
        return Boolean.TRUE.equals(health);
    }

    /** What is in hand, for whoever asks. */
    @Override
    public String toString() {
        return "in-hand=" + byRef.size() + " owed=" + owed + " fingerprints=" + fingerprints.size() + " level="
                + (level.isPosted() ? level.value() : "none") + " gauges=" + gauges;
    }

    // ---- The callers' side

    /** Returns null if the request was answered at once because it can't be decided on. */
    public InFlightRequest dispatch(IncomingRequest a, ResponseListener caller) {
        if (admissionController == null) {
            // Before the runtime is up nothing can have run, so that the caller may go elsewhere.
            counters.add(Count.REQUESTS_RECEIVED);
            counters.add(Count.REJECTED);
            caller.onResponse(new Response(Status.REJECTED, level, 0, false, NOTHING));
            return null;
        }
        RequestClass requestClass = requestClasses.get(a.requestClass());
        Tenant tenant = a.tenant() == null ? null : tenants.get(a.tenant());
        boolean fingerprinted = requestClass != null && requestClass.idempotency() == Repeats.IDEMPOTENT_BY_KEY;
        double waited = clock.getAsDouble() - a.arrivedAtUnixSeconds();
        if (requestClass == null || tenant == null && !tenants.isEmpty() || byRef.containsKey(a.requestId())
                || fingerprinted != (a.idempotencyKey() != null) || !possible(waited)) {
            respondInvalid(caller);
            return null;
        }
        byte[] digest = fingerprinted ? fingerprints.digest(a) : null;
        Kept kept = fingerprinted ? fingerprints.find(a.idempotencyKey(), a.arrivedAtUnixSeconds()) : null;
        if (kept != null && !Arrays.equals(kept.digest, digest)) {
            // No try of that request: its result belongs to another body, and run, the request would run twice.
            respondInvalid(caller);
            return null;
        }
        boolean inFlight = kept != null && kept.holder != null && byRequest.containsKey(kept.holder.request);
        Request request = new Request(requestClass, tenant, a.rank(), a.memoryKilobytes(),
                Math.max(0, waited), Math.min(a.remainingSeconds(), requestClass.deadlineSeconds()), a.retry(),
                kept != null,
                inFlight ? kept.holder.request : null);
        counters.add(Count.REQUESTS_RECEIVED);
        InFlightRequest h = new InFlightRequest(a, caller, request, kept, digest);
        byRef.put(a.requestId(), h);
        byRequest.put(request, h);
        touched.add(h);
        owed++;
        payoffAsked += requestClass.priorityWeight();
        if (a.retry()) {
            counters.add(Count.REQUESTS_RETRIES);
        }
        if (kept != null) {
            counters.add(Count.REQUESTS_DUPLICATED);
        }
        tell(b -> b.requestArrived(now(), request));
        return h;
    }

    /** A request in a sound frame that no decision can be made on: one answer, and it never reaches the module. */
    public void respondInvalid(ResponseListener caller) {
        counters.add(Count.REQUESTS_INVALID);
        caller.onInvalidRequest(Response.INVALID_REQUEST);
    }

    /**
     * Whether a request can have waited so long: all share one clock, and a pause or a crowd before the door lasts less
     * than two outer limits. Believed, one time of years would count as the wait of all.
     */
    private boolean possible(double waited) {
        return waited > -MOST_AHEAD && waited < 2 * longestLimit;
    }

    public void callerDisconnected(InFlightRequest h) {
        if (byRef.get(h.arrival.requestId()) != h || h.answered) {
            return;
        }
        counters.add(Count.CALLERS_DISCONNECTED);
        h.answered = true;
        owed--;
        touched.add(h);
        tell(b -> b.callerDisconnected(now(), h.request));
    }

    /**
     * Takes back a request whose run has not begun, so that it may go elsewhere. False where it ran, or waits for what
     * another try here comes to: elsewhere it could be a second run.
     */
    public boolean cancelIfNotStarted(InFlightRequest h) {
        if (byRef.get(h.arrival.requestId()) != h || h.answered || h.started || h.kept != null && h.kept.holder != h) {
            return false;
        }
        callerDisconnected(h);
        return true;
    }

    /** Whether some try of it is known here that came within its window. */
    public boolean knowsIdempotencyKey(String fingerprint, double since) {
        return fingerprints.find(fingerprint, since) != null;
    }

    /** The posted level, or 0 while none is. */
    public double admissionLevel() {
        return level.value();
    }

    /** Answered from store once the module has ruled so; before, a deep check goes to the runtime. */
    public void healthCheck(ResponseListener caller, boolean deep) {
        counters.add(Count.HEALTH_CHECKS_RECEIVED);
        if (health == null && deep) {
            checks.put(++lastCheck, caller);
            runtime.requestHealthCheck(lastCheck);
        } else {
            caller.onHealth(isHealthy(), level);
        }
    }

    public void healthCheckAbandoned(ResponseListener caller) {
        checks.values().remove(caller);
    }

    // ---- The runtime's side

    public void gaugesReceived(double[] values) {
        counters.add(Count.GAUGES_READ);
        Map<String, Double> read = new LinkedHashMap<>();
        for (int i = 0; i < values.length && i < terms.gauges().size(); i++) {
            read.put(terms.gauges().get(i), values[i]);
        }
        gauges = read;
        if (gaugesAwaited) {
            timer();
        }
    }

    /** What the gauges said last is of a moment that passes; without any the module goes by its own counts. */
    public void runtimeDisconnected() {
        gauges = Map.of();
        // What was asked on the link that is lost is not asked again: those who check would wait for ever.
        List<ResponseListener> asked = List.copyOf(checks.values());
        checks.clear();
        asked.forEach(c -> c.onHealth(false, level));
    }

    /** After a lost link nothing shows whether the runtime read the start of this request. */
    public void startUncertain(String ref) {
        InFlightRequest h = byRef.get(ref);
        if (h != null) {
            counters.add(Count.STARTS_UNCERTAIN);
            touched.add(h);
            tell(b -> b.startUncertain(now(), h.request));
        }
    }

    public void healthCheckCompleted(long tag, boolean passed) {
        ResponseListener caller = checks.remove(tag);
        if (caller != null) {
            caller.onHealth(passed, level);
        }
    }

    public void dependencyCallRequested(String ref, long notice, byte[] body) {
        InFlightRequest h = byRef.get(ref);
        if (h != null) {
            counters.add(Count.CALLS_REQUESTED);
            h.wantedBy = notice;
            h.wanted = body;
            touched.add(h);
            tell(b -> b.dependencyCallRequested(now(), h.request));
        }
    }

    /** A result is passed on before the module hears of it: the answer is owed whatever it rules next. */
    public void runEnded(String ref, Outcome ending, double elapsed, byte[] result) {
        InFlightRequest h = byRef.get(ref);
        if (h == null) {
            return;
        }
        counters.add(switch (ending) {
            case SUCCEEDED -> Count.RUNS_SUCCEEDED;
            case FAILED -> Count.RUNS_FAILED;
            case NOT_STARTED -> Count.RUNS_NOT_STARTED;
            default -> Count.RUNS_KILLED;
        });
        if (h.calling) {
            h.calling = false;
            index.cancel(ref);
        }
        byte[] passed = ending == Outcome.SUCCEEDED ? result : null;
        end(h, passed);
        touched.add(h);
        tell(b -> b.runEnded(now(), h.request, ending, elapsed));
        Kept kept = h.kept;
        if (kept != null && kept.holder == h) {
            fingerprints.runOver(kept, passed);
            // Owed to those that wait even where it is not kept: let go for want of room, or its place taken.
            for (InFlightRequest j : List.copyOf(kept.joined)) {
                endJoined(j, passed);
            }
            kept.joined.clear();
        }
    }

    /** The runtime knows no such request: it never ran, and a caller that keeps to the protocol did not send it. */
    public void commandRefused(String ref) {
        counters.add(Count.COMMANDS_REFUSED);
        InFlightRequest h = byRef.get(ref);
        if (h != null && !h.answered) {
            h.answered = true;
            owed--;
            counters.add(Count.FAILED);
            h.caller.onInvalidRequest(new Response(Status.FAILED, level, 0, false, NOTHING));
        }
        runEnded(ref, Outcome.NOT_STARTED, 0, null);
    }

    // ---- The index's side

    public void dependencyCallEnded(String ref, Outcome ending, byte[] reply) {
        InFlightRequest h = byRef.get(ref);
        if (h == null || !h.calling) {
            return;
        }
        h.calling = false;
        counters.add(ending == Outcome.SUCCEEDED ? Count.CALLS_SUCCEEDED
                : ending.provesNoEffect() ? Count.CALLS_REJECTED : Count.CALLS_FAILED);
        if (ending == Outcome.SUCCEEDED) {
            runtime.resumeWithReply(ref, reply);
        }
        double elapsed = clock.getAsDouble() - h.calledAt;
        touched.add(h);
        tell(b -> b.dependencyCallEnded(now(), h.request, ending, elapsed));
    }

    // ---- The instance's side

    void drain(double secondsToStop) {
        tell(b -> b.drain(now(), secondsToStop));
    }

    // ---- What the module ruled

    /** One happening at a time: what a decision leads to at once is told when all decisions are carried out. */
    private void tell(Function<AdmissionController, List<Decision>> happening) {
        happenings.add(happening);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (var next = happenings.poll(); next != null; next = happenings.poll()) {
                List<Decision> decisions = List.of();
                try {
                    decisions = next.apply(admissionController);
                } catch (RuntimeException e) {
                    fault(e);
                }
                for (Decision r : decisions) {
                    try {
                        carryOut(r);
                    } catch (RuntimeException e) {
                        fault(e);
                    }
                }
            }
        } finally {
            telling = false;
        }
        for (InFlightRequest h : List.copyOf(touched)) {
            if (!admissionController.isInFlight(h.request) && byRef.remove(h.arrival.requestId(), h)) {
                // All are answered by now, but for one that a fault took out of the module's hands.
                answer(h, Status.FAILED, 0, false, NOTHING);
                byRequest.remove(h.request);
            }
        }
        touched.clear();
    }

    /** One request's fault must not end the process that all others are in, nor cost them what was ruled on them. */
    private void fault(RuntimeException e) {
        counters.add(Count.INTERNAL_ERRORS);
        LOG.error("a fault of the program", e);
    }

    private void carryOut(Decision r) {
        InFlightRequest h = r.request() == null ? null : byRequest.get(r.request());
        if (h != null) {
            touched.add(h);
        }
        switch (r.what()) {
            case START -> {
                counters.add(h.started ? Count.RUNS_RESTARTED : Count.RUNS_STARTED);
                h.started = true;
                runtime.start(h.arrival.requestId(), h.arrival.requestClass(), h.arrival.body());
            }
            case DEFER -> answer(h, Status.REJECTED, r.number(), r.yes(), NOTHING);
            case BREAK_OFF -> answer(h, Status.FAILED, 0, false, NOTHING);
            case JOIN -> join(h);
            // Counted from its arrival where that is later: the caller's clock may be ahead of this one.
            case REMEMBER -> fingerprints.remember(h,
                    Math.max(clock.getAsDouble(), h.arrival.arrivedAtUnixSeconds()) + r.number());
            case FORGET -> fingerprints.forget(h);
            case CALL -> {
                counters.add(Count.CALLS_MADE);
                h.calling = true;
                h.calledAt = clock.getAsDouble();
                index.call(h.arrival.requestId(), r.number(),
                        h.request.requestClass().idempotency() == Repeats.RETRY_SAFE,
                        h.wanted);
            }
            case DO_WITHOUT -> {
                counters.add(Count.CALLS_SKIPPED);
                runtime.resumeWithoutReply(h.arrival.requestId(), h.wantedBy);
            }
            case POST -> {
                // Under load it moves every second, which would fill a log.
                counters.add(Count.LEVELS_POSTED);
                level = AdmissionLevel.of(r.number());
            }
            case HEALTH -> {
                if (!Boolean.valueOf(r.yes()).equals(health)) {
                    LOG.info("health is {}", r.yes() ? "good" : "bad");
                }
                health = r.yes();
            }
            case CLOSE_IDLE -> callers.closeIdle(r.number());
            case WAKE -> wakeIn(r.number());
            case NOTE -> LOG.info("{}", r.text());
            case STOP -> LOG.warn("this runtime knows no command that stops a run");
        }
    }

    private void answer(InFlightRequest h, Status status, double stayAway, boolean notElsewhere, byte[] body) {
        if (h.calling) {
            // Nobody waits any more, so that what lies below need not work on.
            h.calling = false;
            index.cancel(h.arrival.requestId());
        }
        if (h.answered) {
            return;
        }
        h.answered = true;
        owed--;
        if (status == Status.SERVED) {
            payoffServed += h.request.requestClass().priorityWeight();
        }
        counters.add(switch (status) {
            case SERVED -> Count.SERVED;
            case REJECTED -> Count.REJECTED;
            case FAILED -> Count.FAILED;
        });
        h.caller.onResponse(new Response(status, level, stayAway, notElsewhere, body));
    }

    private void end(InFlightRequest h, byte[] result) {
        if (h.answered && result != null) {
            counters.add(Count.RESULTS_UNCLAIMED);
        }
        answer(h, result != null ? Status.SERVED : Status.FAILED, 0, false, result != null ? result : NOTHING);
    }

    private void join(InFlightRequest h) {
        counters.add(Count.REQUESTS_JOINED);
        if (h.kept == null) {
            endJoined(h, null);
        } else if (h.kept.over || !byRequest.containsKey(h.kept.holder.request)) {
            endJoined(h, h.kept.result); // without the second, it would wait for a run that is not
        } else {
            h.kept.joined.add(h);
        }
    }

    private void endJoined(InFlightRequest h, byte[] result) {
        double since = h.arrival.arrivedAtUnixSeconds();
        if (!h.answered) {
            end(h, result);
        }
        touched.add(h);
        tell(b -> b.runEnded(now(), h.request, result != null ? Outcome.SUCCEEDED : Outcome.FAILED,
                clock.getAsDouble() - since));
    }

    // ---- Time

    /** A timer wants the gauges of its moment; where none come within its period, the last must do. */
    private void wake() {
        if (fingerprints.size() > 0) {
            fingerprints.sweep(clock.getAsDouble(), longestLimit);
        }
        gaugesAwaited = true;
        runtime.requestGauges();
        timers.schedule(wakePeriod / 2, () -> {
            if (gaugesAwaited) {
                counters.add(Count.GAUGES_MISSED);
                timer();
            }
        });
    }

    private void timer() {
        gaugesAwaited = false;
        awake = true;
        tell(b -> b.tick(now(), gauges));
        if (awake && !telling) {
            wakeIn(wakePeriod); // after a fault: without timers no request would be answered by its due time any more
        }
    }

    private void wakeIn(double seconds) {
        awake = false;
        wakePeriod = seconds;
        timers.schedule(seconds, this::wake);
    }

    /** Seconds of the module's time, which never runs backwards though the clock may be set. */
    private double now() {
        latest = Math.max(latest, clock.getAsDouble() - zero);
        return latest;
    }
}
