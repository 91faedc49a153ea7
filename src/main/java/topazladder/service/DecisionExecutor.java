package topazladder.service;

import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.request.DecisionHandler;
import topazladder.request.Request;
import topazladder.request.RequestClass.Idempotency;
import topazladder.service.Counters.Count;

/** Carries out the admission controller's decisions, through the ports of the instance. */
final class DecisionExecutor implements DecisionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionExecutor.class);

    private final DoubleSupplier clock;
    private final RuntimePort runtime;
    private final DependencyPort dependency;
    private final ClientConnections connections;
    private final InFlightRequests inFlightRequests;
    private final Responder responder;
    private final IdempotencyStore idempotencyStore;
    private final DuplicateRequests duplicates;
    private final HealthChecks healthChecks;
    private final TickScheduler ticks;
    private final Counters counters;

    DecisionExecutor(DoubleSupplier clock, RuntimePort runtime, DependencyPort dependency,
            ClientConnections connections, InFlightRequests inFlightRequests, Responder responder,
            IdempotencyStore idempotencyStore, DuplicateRequests duplicates, HealthChecks healthChecks,
            TickScheduler ticks, Counters counters) {
        this.clock = clock;
        this.runtime = runtime;
        this.dependency = dependency;
        this.connections = connections;
        this.inFlightRequests = inFlightRequests;
        this.responder = responder;
        this.idempotencyStore = idempotencyStore;
        this.duplicates = duplicates;
        this.healthChecks = healthChecks;
        this.ticks = ticks;
        this.counters = counters;
    }

    @Override
    public void start(Request request) {
        InFlightRequest inFlight = inFlightRequests.affect(request);
        counters.add(inFlight.isStarted() ? Count.RUNS_RESTARTED : Count.RUNS_STARTED);
        inFlight.markStarted();
        IncomingRequest incoming = inFlight.incoming();
        runtime.start(incoming.requestId(), incoming.requestClass(), incoming.body());
    }

    @Override
    public void reject(Request request, double retryAfterSeconds, boolean doNotRetryElsewhere) {
        responder.reject(inFlightRequests.affect(request), retryAfterSeconds, doNotRetryElsewhere);
    }

    @Override
    public void fail(Request request) {
        responder.fail(inFlightRequests.affect(request));
    }

    @Override
    public void cancelRun(Request request) {
        inFlightRequests.affect(request);
        LOG.warn("run not cancelled reason=unsupported-by-runtime");
    }

    @Override
    public void answerFromOriginal(Request request) {
        duplicates.join(inFlightRequests.affect(request));
    }

    @Override
    public void rememberIdempotencyKey(Request request, double windowSeconds) {
        InFlightRequest inFlight = inFlightRequests.affect(request);
        // Counted from its arrival where that is later: the caller's clock may be ahead of this one.
        double windowStart = Math.max(clock.getAsDouble(), inFlight.incoming().arrivedAtUnixSeconds());
        idempotencyStore.remember(inFlight, windowStart + windowSeconds);
    }

    @Override
    public void forgetIdempotencyKey(Request request) {
        idempotencyStore.forget(inFlightRequests.affect(request));
    }

    @Override
    public void callDependency(Request request, double timeoutSeconds) {
        InFlightRequest inFlight = inFlightRequests.affect(request);
        counters.add(Count.CALLS_MADE);
        inFlight.startCall(clock.getAsDouble());
        boolean retrySafe = request.requestClass().idempotency() == Idempotency.RETRY_SAFE;
        dependency.call(inFlight.requestId(), timeoutSeconds, retrySafe, inFlight.callBody());
    }

    @Override
    public void skipDependencyCall(Request request) {
        InFlightRequest inFlight = inFlightRequests.affect(request);
        counters.add(Count.CALLS_SKIPPED);
        runtime.resumeWithoutReply(inFlight.requestId(), inFlight.callNotificationNumber());
    }

    @Override
    public void postAdmissionLevel(double level) {
        // Not logged: under load it moves every second.
        counters.add(Count.LEVELS_POSTED);
        responder.postLevel(AdmissionLevel.of(level));
    }

    @Override
    public void setHealth(boolean healthy) {
        healthChecks.setHealthy(healthy);
    }

    @Override
    public void closeIdleConnections(double idleSeconds) {
        connections.closeIdle(idleSeconds);
    }

    @Override
    public void scheduleTick(double delaySeconds) {
        ticks.scheduleIn(delaySeconds);
    }
}
