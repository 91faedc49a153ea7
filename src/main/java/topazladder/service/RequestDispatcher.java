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
import topazladder.admission.RuntimeGauges;
import topazladder.config.SettingsReader;
import topazladder.request.Decision;
import topazladder.request.DecisionHandler;
import topazladder.request.LearnedEstimate;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Repeats;
import topazladder.request.Tenant;
import topazladder.service.Counters.Count;
import topazladder.service.IdempotencyStore.Kept;
import topazladder.service.Response.How;

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
    private final Callers callers;
    private final Timers timers;
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
    private final Map<Long, Caller> checks = new LinkedHashMap<>();
    private long lastCheck;
    private final DecisionHandler decisionHandler = new DispatchingHandler();
    private AdmissionController admissionController;
    private double zero;
    private double latest;
    private Double level;
    private Boolean health; // null until the module rules on it
    private RuntimeGauges gauges = RuntimeGauges.NONE;
    private boolean gaugesAwaited;
    private List<LearnedEstimate> early = List.of(); // learned before the module started; emptied as it does
    private double wakePeriod;
    private boolean awake; // no timer is set
    private int owed;
    private double payoffAsked;
    private double payoffServed;

    public RequestDispatcher(DoubleSupplier clock, SettingsReader terms, RuntimePort runtime, DependencyPort index,
            Callers callers,
            Timers timers, Counters counters) {
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
        admissionController = new AdmissionController(new SplittableRandom(seed),
                terms.admissionSettings().withColdStart(cold));
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
            counters.add(Count.FACTS_LEARNED, facts.size());
            tell(b -> b.learn(now(), facts));
        }
    }

    /** What the module has learned and would hold on another machine; nothing before it has started. */
    public List<LearnedEstimate> learnedEstimates() {
        return admissionController == null ? List.of() : admissionController.learnedEstimates(now());
    }

    /** Payoff of all requests that were read, and of those that were served, since the start. */
    public double[] payoff() {
        return new double[] {payoffAsked, payoffServed};
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
                + (level == null ? "none" : level) + " gauges=" + gauges;
    }

    // ---- The callers' side

    /** Returns null if the request was answered at once because it can't be decided on. */
    public InFlightRequest dispatch(IncomingRequest a, Caller caller) {
        if (admissionController == null) {
            // Before the runtime is up nothing can have run, so that the caller may go elsewhere.
            counters.add(Count.REQUESTS_TAKEN_IN);
            counters.add(Count.REJECTED);
            caller.answer(new Response(How.REJECTED, level, 0, false, NOTHING));
            return null;
        }
        RequestClass requestClass = requestClasses.get(a.requestClass());
        Tenant tenant = a.tenant() == null ? null : tenants.get(a.tenant());
        boolean fingerprinted = requestClass != null && requestClass.idempotency() == Repeats.IDEMPOTENT_BY_KEY;
        double waited = clock.getAsDouble() - a.since();
        if (requestClass == null || tenant == null && !tenants.isEmpty() || byRef.containsKey(a.ref())
                || fingerprinted != (a.fingerprint() != null) || !possible(waited)) {
            answerUnusable(caller);
            return null;
        }
        byte[] digest = fingerprinted ? fingerprints.digest(a) : null;
        Kept kept = fingerprinted ? fingerprints.find(a.fingerprint(), a.since()) : null;
        if (kept != null && !Arrays.equals(kept.digest, digest)) {
            // No try of that request: its result belongs to another body, and run, the request would run twice.
            answerUnusable(caller);
            return null;
        }
        boolean inFlight = kept != null && kept.holder != null && byRequest.containsKey(kept.holder.request);
        Request request = new Request(requestClass, tenant, a.rank(), a.footprint(),
                Math.max(0, waited), Math.min(a.patience(), requestClass.deadlineSeconds()), a.retry(), kept != null,
                inFlight ? kept.holder.request : null);
        counters.add(Count.REQUESTS_TAKEN_IN);
        InFlightRequest h = new InFlightRequest(a, caller, request, kept, digest);
        byRef.put(a.ref(), h);
        byRequest.put(request, h);
        touched.add(h);
        owed++;
        payoffAsked += requestClass.priorityWeight();
        if (a.retry()) {
            counters.add(Count.REQUESTS_RETRIES);
        }
        if (kept != null) {
            counters.add(Count.REQUESTS_REPEATED);
        }
        tell(b -> b.requestArrived(now(), request));
        return h;
    }

    /** A request in a sound frame that no decision can be made on: one answer, and it never reaches the module. */
    public void answerUnusable(Caller caller) {
        counters.add(Count.REQUESTS_UNUSABLE);
        caller.unusable(Response.UNUSABLE);
    }

    /**
     * Whether a request can have waited so long: all share one clock, and a pause or a crowd before the door lasts less
     * than two outer limits. Believed, one time of years would count as the wait of all.
     */
    private boolean possible(double waited) {
        return waited > -MOST_AHEAD && waited < 2 * longestLimit;
    }

    public void callerDisconnected(InFlightRequest h) {
        if (byRef.get(h.arrival.ref()) != h || h.answered) {
            return;
        }
        counters.add(Count.CALLERS_GONE);
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
        if (byRef.get(h.arrival.ref()) != h || h.answered || h.started || h.kept != null && h.kept.holder != h) {
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
        return level == null ? 0 : level;
    }

    /** Answered from store once the module has ruled so; before, a deep check goes to the runtime. */
    public void healthCheck(Caller caller, boolean deep) {
        counters.add(Count.CHECKS_TAKEN_IN);
        if (health == null && deep) {
            checks.put(++lastCheck, caller);
            runtime.askWhetherWorkGetsDone(lastCheck);
        } else {
            caller.health(isHealthy(), level);
        }
    }

    public void healthCheckAbandoned(Caller caller) {
        checks.values().remove(caller);
    }

    // ---- The runtime's side

    public void gaugesReceived(double[] values) {
        counters.add(Count.GAUGES_READ);
        gauges = RuntimeGauges.of(terms.gaugeNames(), values);
        if (gaugesAwaited) {
            timer();
        }
    }

    /** What the gauges said last is of a moment that passes; without any the module goes by its own counts. */
    public void runtimeLost() {
        gauges = RuntimeGauges.NONE;
        // What was asked on the link that is lost is not asked again: those who check would wait for ever.
        List<Caller> asked = List.copyOf(checks.values());
        checks.clear();
        asked.forEach(c -> c.health(false, level));
    }

    /** After a lost link nothing shows whether the runtime read the start of this request. */
    public void startUncertain(String ref) {
        InFlightRequest h = byRef.get(ref);
        if (h != null) {
            counters.add(Count.STARTS_IN_DOUBT);
            touched.add(h);
            tell(b -> b.startUncertain(now(), h.request));
        }
    }

    public void healthCheckCompleted(long tag, boolean passed) {
        Caller caller = checks.remove(tag);
        if (caller != null) {
            caller.health(passed, level);
        }
    }

    public void dependencyCallRequested(String ref, long notice, byte[] body) {
        InFlightRequest h = byRef.get(ref);
        if (h != null) {
            counters.add(Count.CALLS_WANTED);
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
            case SUCCEEDED -> Count.RUNS_PASSED;
            case FAILED -> Count.RUNS_FAILED;
            case NOT_STARTED -> Count.RUNS_NOT_STARTED;
            default -> Count.RUNS_KILLED;
        });
        if (h.calling) {
            h.calling = false;
            index.giveUp(ref);
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
    public void notStarted(String ref) {
        counters.add(Count.COMMANDS_NOT_CARRIED_OUT);
        InFlightRequest h = byRef.get(ref);
        if (h != null && !h.answered) {
            h.answered = true;
            owed--;
            counters.add(Count.FAILED);
            h.caller.unusable(new Response(How.FAILED, level, 0, false, NOTHING));
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
        counters.add(ending == Outcome.SUCCEEDED ? Count.CALLS_WELL
                : ending.provesNoEffect() ? Count.CALLS_TURNED_AWAY : Count.CALLS_FAILED);
        if (ending == Outcome.SUCCEEDED) {
            runtime.give(ref, reply);
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
                        r.applyTo(decisionHandler);
                    } catch (RuntimeException e) {
                        fault(e);
                    }
                }
            }
        } finally {
            telling = false;
        }
        for (InFlightRequest h : List.copyOf(touched)) {
            if (!admissionController.isInFlight(h.request) && byRef.remove(h.arrival.ref(), h)) {
                // All are answered by now, but for one that a fault took out of the module's hands.
                answer(h, How.FAILED, 0, false, NOTHING);
                byRequest.remove(h.request);
            }
        }
        touched.clear();
    }

    /** One request's fault must not end the process that all others are in, nor cost them what was ruled on them. */
    private void fault(RuntimeException e) {
        counters.add(Count.FAULTS);
        LOG.error("a fault of the program", e);
    }

    /** Carries out one decision after the other, on behalf of the dispatcher. */
    private final class DispatchingHandler implements DecisionHandler {

        /** The request that a decision names; it may be over once that is carried out. */
        private InFlightRequest inFlight(Request request) {
            InFlightRequest inFlight = byRequest.get(request);
            if (inFlight != null) {
                touched.add(inFlight);
            }
            return inFlight;
        }

        @Override
        public void start(Request request) {
            InFlightRequest inFlight = inFlight(request);
            counters.add(inFlight.started ? Count.RUNS_STARTED_AGAIN : Count.RUNS_STARTED);
            inFlight.started = true;
            runtime.start(inFlight.arrival.ref(), inFlight.arrival.requestClass(), inFlight.arrival.body());
        }

        @Override
        public void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere) {
            answer(inFlight(request), How.REJECTED, retryAfterSeconds, doNotRetryElsewhere, NOTHING);
        }

        @Override
        public void fail(Request request) {
            answer(inFlight(request), How.FAILED, 0, false, NOTHING);
        }

        @Override
        public void cancelRun(Request request) {
            inFlight(request);
            LOG.warn("this runtime knows no command that stops a run");
        }

        @Override
        public void answerFromOriginal(Request request) {
            join(inFlight(request));
        }

        @Override
        public void rememberIdempotencyKey(Request request, double windowSeconds) {
            InFlightRequest inFlight = inFlight(request);
            // Counted from its arrival where that is later: the caller's clock may be ahead of this one.
            fingerprints.remember(inFlight, Math.max(clock.getAsDouble(), inFlight.arrival.since()) + windowSeconds);
        }

        @Override
        public void forgetIdempotencyKey(Request request) {
            fingerprints.forget(inFlight(request));
        }

        @Override
        public void callDependency(Request request, double timeoutSeconds) {
            InFlightRequest inFlight = inFlight(request);
            counters.add(Count.CALLS_MADE);
            inFlight.calling = true;
            inFlight.calledAt = clock.getAsDouble();
            index.call(inFlight.arrival.ref(), timeoutSeconds,
                    request.requestClass().idempotency() == Repeats.RETRY_SAFE, inFlight.wanted);
        }

        @Override
        public void skipDependencyCall(Request request) {
            InFlightRequest inFlight = inFlight(request);
            counters.add(Count.CALLS_LEFT_OUT);
            runtime.omit(inFlight.arrival.ref(), inFlight.wantedBy);
        }

        @Override
        public void postAdmissionLevel(double posted) {
            // Under load it moves every second, which would fill a log.
            counters.add(Count.LEVELS_POSTED);
            level = posted;
        }

        @Override
        public void setHealth(boolean healthy) {
            if (!Boolean.valueOf(healthy).equals(health)) {
                LOG.info("health is {}", healthy ? "good" : "bad");
            }
            health = healthy;
        }

        @Override
        public void closeIdleConnections(double idleSeconds) {
            callers.closeIdle(idleSeconds);
        }

        @Override
        public void scheduleTick(double delaySeconds) {
            wakeIn(delaySeconds);
        }
    }

    private void answer(InFlightRequest h, How how, double stayAway, boolean notElsewhere, byte[] body) {
        if (h.calling) {
            // Nobody waits any more, so that what lies below need not work on.
            h.calling = false;
            index.giveUp(h.arrival.ref());
        }
        if (h.answered) {
            return;
        }
        h.answered = true;
        owed--;
        if (how == How.SERVED) {
            payoffServed += h.request.requestClass().priorityWeight();
        }
        counters.add(switch (how) {
            case SERVED -> Count.SERVED;
            case REJECTED -> Count.REJECTED;
            case FAILED -> Count.FAILED;
        });
        h.caller.answer(new Response(how, level, stayAway, notElsewhere, body));
    }

    private void end(InFlightRequest h, byte[] result) {
        if (h.answered && result != null) {
            counters.add(Count.ANSWERS_NOBODY_WAITED_FOR);
        }
        answer(h, result != null ? How.SERVED : How.FAILED, 0, false, result != null ? result : NOTHING);
    }

    private void join(InFlightRequest h) {
        counters.add(Count.JOINED);
        if (h.kept == null) {
            endJoined(h, null);
        } else if (h.kept.over || !byRequest.containsKey(h.kept.holder.request)) {
            endJoined(h, h.kept.result); // without the second, it would wait for a run that is not
        } else {
            h.kept.joined.add(h);
        }
    }

    private void endJoined(InFlightRequest h, byte[] result) {
        double since = h.arrival.since();
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
        runtime.askGauges();
        timers.in(wakePeriod / 2, () -> {
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
        timers.in(seconds, this::wake);
    }

    /** Seconds of the module's time, which never runs backwards though the clock may be set. */
    private double now() {
        latest = Math.max(latest, clock.getAsDouble() - zero);
        return latest;
    }
}
