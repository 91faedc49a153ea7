package topazladder.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;
import topazladder.admission.AdmissionController;
import topazladder.config.SettingsReader;
import topazladder.request.LearnedEstimate;
import topazladder.request.Outcome;
import topazladder.request.Request;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Idempotency;
import topazladder.request.Tenant;
import topazladder.service.Counters.Count;

/**
 * Where callers, runtime and dependency meet, and nowhere else: each of their events is handed to the admission
 * controller, whose decisions a {@link DecisionExecutor} carries out. It decides nothing itself.
 *
 * <p>Requests that were received before {@link #open} are rejected. Events of requests that are over, or unknown, are
 * ignored.
 */
public final class RequestDispatcher {
    /** By which a caller's clock may be ahead: it may be set while a request is on its way. */
    private static final double MAX_CLOCK_LEAD_SECONDS = 1;
    private static final int MAX_WAIT_DEADLINES = 2;

    private final DoubleSupplier clock;
    private final SettingsReader settings;
    private final RuntimePort runtime;
    private final Counters counters;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final double longestDeadlineSeconds;
    private final HeapShares heap = HeapShares.of(Runtime.getRuntime().maxMemory());
    private final InFlightRequests inFlightRequests = new InFlightRequests(heap);
    private final IdempotencyStore idempotencyStore = new IdempotencyStore(heap);
    private final StartedRequestIds startedRequestIds;
    private final Responder responder;
    private final HealthChecks healthChecks;
    private final AdmissionEventQueue events;
    private final DuplicateRequests duplicates;
    private final TickScheduler ticks;
    private final DecisionExecutor decisionExecutor;
    /** Learned from others before the admission controller started, which empties it. */
    private List<LearnedEstimate> earlyEstimates = List.of();

    /**
     * A dispatcher that rejects requests until it is opened.
     *
     * @param clock Unix seconds
     * @param settings what the admission controller is handed
     */
    public RequestDispatcher(DoubleSupplier clock, SettingsReader settings, RuntimePort runtime,
            DependencyPort dependency, ClientConnections connections, Scheduler scheduler, Counters counters) {
        this.clock = clock;
        this.settings = settings;
        this.runtime = runtime;
        this.counters = counters;
        settings.requestClasses().forEach(requestClass -> requestClasses.put(requestClass.name(), requestClass));
        settings.tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
        longestDeadlineSeconds =
                settings.requestClasses().stream().mapToDouble(RequestClass::deadlineSeconds).max().orElse(0);
        startedRequestIds = new StartedRequestIds(heap, MAX_WAIT_DEADLINES * longestDeadlineSeconds);
        responder = new Responder(dependency, counters);
        healthChecks = new HealthChecks(runtime, responder, counters);
        events = new AdmissionEventQueue(clock, inFlightRequests, startedRequestIds, responder, counters);
        duplicates =
                new DuplicateRequests(clock, idempotencyStore, inFlightRequests, events, responder, counters);
        ticks = new TickScheduler(clock, scheduler, runtime, settings.gaugeNames(), idempotencyStore, startedRequestIds,
                longestDeadlineSeconds, events, counters);
        decisionExecutor = new DecisionExecutor(clock, runtime, dependency, connections, inFlightRequests, responder,
                idempotencyStore, duplicates, healthChecks, ticks, counters);
    }

    /**
     * Starts the admission controller, whose time begins here. An empty server may have been up for a while and be
     * warmer than that says; counted from the server's own start instead, one that was loaded long ago would have the
     * controller trust averages over an hour in which it saw nothing.
     *
     * @param seed of the controller's random numbers
     * @param cold whether the runtime warms up
     */
    void open(long seed, boolean cold) {
        events.start(new AdmissionController(new SplittableRandom(seed),
                settings.admissionSettings().withColdStart(cold)), decisionExecutor);
        applyEstimates(earlyEstimates);
        earlyEstimates = List.of();
    }

    /** Hands on what others learned, weighed for this machine; before the start it is kept until then. */
    public void applyEstimates(List<LearnedEstimate> estimates) {
        if (!events.isStarted()) {
            earlyEstimates = Stream.concat(earlyEstimates.stream(), estimates.stream()).toList();
        } else if (!estimates.isEmpty()) {
            counters.add(Count.ESTIMATES_LEARNED, estimates.size());
            events.submit((controller, now) -> controller.learn(now, estimates));
        }
    }

    /** What the admission controller has learned and would hold on another machine; nothing before the start. */
    public List<LearnedEstimate> learnedEstimates() {
        return events.isStarted() ? events.controller().learnedEstimates(events.now()) : List.of();
    }

    /** The value of all requests that were received, and of those that were served. */
    public ServedValue servedValue() {
        return responder.servedValue();
    }

    /** Requests that were received and have no response yet. */
    int unansweredRequests() {
        return responder.unanswered();
    }

    boolean isHealthy() {
        return healthChecks.isHealthy();
    }

    /** The posted level, or 0 while none is. */
    public double admissionLevel() {
        return responder.level().value();
    }

    /** The requests in flight and what is known of callers and runtime, as {@code name=value} for the log. */
    @Override
    public String toString() {
        AdmissionLevel level = responder.level();
        return "in-flight=" + inFlightRequests.size() + " unanswered=" + responder.unanswered()
                + " idempotency-keys=" + idempotencyStore.size()
                + " level=" + (level.isPosted() ? level.value() : "none") + " gauges=" + ticks.gauges();
    }

    // ---- Events of callers

    /**
     * Receives a request.
     *
     * @return the request, for its caller to refer to; null if it was answered at once, because it can't be decided on
     *     or the heap has no room for it
     */
    public InFlightRequest dispatch(IncomingRequest incoming, ResponseListener listener) {
        if (!events.isStarted()) {
            rejectUnadmitted(listener);
            return null;
        }
        double waitedSeconds = clock.getAsDouble() - incoming.arrivedAtUnixSeconds();
        RequestClass requestClass = requestClasses.get(incoming.requestClass());
        if (requestClass == null || !isValid(incoming, requestClass, waitedSeconds)) {
            respondInvalid(listener);
            return null;
        }
        if (mayHaveRun(incoming)) {
            counters.add(Count.REQUESTS_SENT_AGAIN);
            responder.failUnadmitted(listener);
            return null;
        }
        byte[] digest = null;
        IdempotencyRecord record = null;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            digest = idempotencyStore.digest(incoming);
            record = idempotencyStore.find(incoming.idempotencyKey(), incoming.arrivedAtUnixSeconds());
        }
        if (record != null && !record.hasDigest(digest)) {
            // No attempt of that request: its result belongs to another body, and run, the request would run twice.
            respondInvalid(listener);
            return null;
        }
        boolean anotherKey = digest != null && record == null;
        boolean anotherId = requestClass.idempotency() == Idempotency.AT_MOST_ONCE;
        if (!inFlightRequests.fits(incoming) || anotherKey && idempotencyStore.isFull()
                || anotherId && startedRequestIds.isFull()) {
            counters.add(Count.REQUESTS_OUT_OF_MEMORY);
            rejectUnadmitted(listener);
            return null;
        }
        Request request = request(incoming, requestClass, waitedSeconds, record);
        InFlightRequest inFlight = new InFlightRequest(incoming, listener, request, record, digest);
        receive(inFlight);
        return inFlight;
    }

    /** Rejects a request that the admission controller never hears of. */
    private void rejectUnadmitted(ResponseListener listener) {
        counters.add(Count.REQUESTS_RECEIVED);
        responder.rejectUnadmitted(listener);
    }

    private boolean isValid(IncomingRequest incoming, RequestClass requestClass, double waitedSeconds) {
        boolean needsKey = requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY;
        boolean knownTenant = tenants.isEmpty() || incoming.tenant() != null && tenants.containsKey(incoming.tenant());
        InFlightRequest sameId = inFlightRequests.find(incoming.requestId());
        return knownTenant && (sameId == null || !sameId.isResponseOwed())
                && needsKey == (incoming.idempotencyKey() != null) && isPossibleWait(waitedSeconds);
    }

    /** Whether the request, sent again by a caller that had left, runs or may have had its effect here. */
    private boolean mayHaveRun(IncomingRequest incoming) {
        return inFlightRequests.contains(incoming.requestId()) || startedRequestIds.contains(incoming.requestId());
    }

    /**
     * Whether a request can have waited so long: all share one clock, and a pause, or a crowd that waits to be read,
     * lasts less than two deadlines. Believed, one time of years would count as the wait of all.
     */
    private boolean isPossibleWait(double waitedSeconds) {
        return waitedSeconds > -MAX_CLOCK_LEAD_SECONDS && waitedSeconds < MAX_WAIT_DEADLINES * longestDeadlineSeconds;
    }

    private Request request(IncomingRequest incoming, RequestClass requestClass, double waitedSeconds,
            IdempotencyRecord record) {
        Tenant tenant = incoming.tenant() == null ? null : tenants.get(incoming.tenant());
        InFlightRequest owner = record == null ? null : record.owner();
        Request original = owner != null && inFlightRequests.contains(owner.request()) ? owner.request() : null;
        return new Request(requestClass, tenant, incoming.rank(), incoming.memoryKilobytes(),
                Math.max(0, waitedSeconds), Math.min(incoming.remainingSeconds(), requestClass.deadlineSeconds()),
                incoming.retry(), record != null, original);
    }

    private void receive(InFlightRequest inFlight) {
        counters.add(Count.REQUESTS_RECEIVED);
        inFlightRequests.add(inFlight);
        responder.received(inFlight);
        if (inFlight.incoming().retry()) {
            counters.add(Count.REQUESTS_RETRIES);
        }
        if (inFlight.idempotencyRecord() != null) {
            counters.add(Count.REQUESTS_DUPLICATED);
        }
        Request request = inFlight.request();
        events.submit((controller, now) -> controller.requestArrived(now, request));
    }

    /** Answers a request in a sound frame that can't be decided on; the admission controller never hears of it. */
    public void respondInvalid(ResponseListener listener) {
        counters.add(Count.REQUESTS_INVALID);
        listener.onInvalidRequest(Response.INVALID_REQUEST);
    }

    /** Nobody waits for the response to a request any more. */
    public void callerDisconnected(InFlightRequest inFlight) {
        if (!inFlightRequests.contains(inFlight) || !inFlight.isResponseOwed()) {
            return;
        }
        counters.add(Count.CALLERS_DISCONNECTED);
        responder.abandon(inFlight);
        inFlightRequests.affect(inFlight);
        events.submit((controller, now) -> controller.callerDisconnected(now, inFlight.request()));
    }

    /**
     * Takes back a request whose run has not begun, so that it may go elsewhere. Returns false where it was started, or
     * waits for the run of another attempt here: elsewhere it could be a second run.
     */
    public boolean cancelIfNotStarted(InFlightRequest inFlight) {
        if (!inFlightRequests.contains(inFlight) || !inFlight.isResponseOwed() || inFlight.isStarted()
                || inFlight.waitsForOtherAttempt()) {
            return false;
        }
        callerDisconnected(inFlight);
        return true;
    }

    /** Whether an attempt of the request is known here within whose window this one arrived. */
    public boolean knowsIdempotencyKey(String idempotencyKey, double arrivedAtUnixSeconds) {
        return idempotencyStore.find(idempotencyKey, arrivedAtUnixSeconds) != null;
    }

    /** Answers a health check; a deep one may go to the runtime. */
    public void healthCheck(ResponseListener listener, boolean deep) {
        healthChecks.check(listener, deep);
    }

    /** Nobody waits for the result of a health check any more. */
    public void healthCheckAbandoned(ResponseListener listener) {
        healthChecks.abandon(listener);
    }

    // ---- Events of the runtime

    /** The runtime reported its gauges, in the order in which the settings name them. */
    public void gaugesReceived(double[] values) {
        ticks.gaugesReceived(values);
    }

    /** The link to the runtime is lost. */
    public void runtimeDisconnected() {
        ticks.runtimeDisconnected();
        healthChecks.runtimeDisconnected();
    }

    /** After a lost link nothing shows whether the runtime read the start of this request. */
    public void startUncertain(String requestId) {
        InFlightRequest inFlight = inFlightRequests.find(requestId);
        if (inFlight != null) {
            counters.add(Count.STARTS_UNCERTAIN);
            inFlightRequests.affect(inFlight);
            events.submit((controller, now) -> controller.startUncertain(now, inFlight.request()));
        }
    }

    /** The runtime answered a health check. */
    public void healthCheckCompleted(long checkId, boolean healthy) {
        healthChecks.complete(checkId, healthy);
    }

    /** A run waits for a dependency call. */
    public void dependencyCallRequested(String requestId, long notificationNumber, byte[] body) {
        InFlightRequest inFlight = inFlightRequests.find(requestId);
        if (inFlight != null) {
            counters.add(Count.CALLS_REQUESTED);
            inFlight.requestCall(notificationNumber, body);
            inFlightRequests.affect(inFlight);
            events.submit((controller, now) -> controller.dependencyCallRequested(now, inFlight.request()));
        }
    }

    /**
     * A run is over. A result is sent before the admission controller hears of it: the response is owed whatever it
     * decides next.
     */
    public void runEnded(String requestId, Outcome outcome, double elapsedSeconds, byte[] result) {
        InFlightRequest inFlight = inFlightRequests.find(requestId);
        if (inFlight == null) {
            return;
        }
        counters.add(switch (outcome) {
            case SUCCEEDED -> Count.RUNS_SUCCEEDED;
            case FAILED -> Count.RUNS_FAILED;
            case NOT_STARTED -> Count.RUNS_NOT_STARTED;
            default -> Count.RUNS_KILLED;
        });
        if (outcome.provesNoEffect()) {
            inFlight.markNotRun();
        }
        byte[] resultOrNull = outcome == Outcome.SUCCEEDED ? result : null;
        responder.respondWithResult(inFlight, resultOrNull);
        inFlightRequests.affect(inFlight);
        events.submit((controller, now) -> controller.runEnded(now, inFlight.request(), outcome, elapsedSeconds));
        duplicates.runEnded(inFlight, resultOrNull);
    }

    /**
     * The runtime refused a command because it knows no such request: it never ran, and a caller that keeps to the
     * protocol did not send it.
     */
    public void commandRefused(String requestId) {
        counters.add(Count.COMMANDS_REFUSED);
        InFlightRequest inFlight = inFlightRequests.find(requestId);
        if (inFlight != null && inFlight.isResponseOwed()) {
            responder.failInvalid(inFlight);
        }
        runEnded(requestId, Outcome.NOT_STARTED, 0, null);
    }

    // ---- Events of the dependency

    /** The call of a run is over; the reply is null unless it succeeded. */
    public void dependencyCallEnded(String requestId, Outcome outcome, byte[] reply) {
        InFlightRequest inFlight = inFlightRequests.find(requestId);
        if (inFlight == null || !inFlight.endCall()) {
            return;
        }
        if (outcome == Outcome.SUCCEEDED) {
            counters.add(Count.CALLS_SUCCEEDED);
            runtime.resumeWithReply(requestId, reply);
        } else {
            counters.add(outcome.provesNoEffect() ? Count.CALLS_REJECTED : Count.CALLS_FAILED);
        }
        double elapsedSeconds = clock.getAsDouble() - inFlight.callStartedAt();
        inFlightRequests.affect(inFlight);
        events.submit(
                (controller, now) -> controller.dependencyCallEnded(now, inFlight.request(), outcome, elapsedSeconds));
    }

    // ---- Events of the instance

    /** The instance shuts down: all responses are to be sent within so many seconds. */
    void drain(double remainingSeconds) {
        events.submit((controller, now) -> controller.drain(now, remainingSeconds));
    }
}
