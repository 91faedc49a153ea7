package topazladder.admission;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import topazladder.admission.AdmissionSettings.RunCancellation;
import topazladder.admission.TrackedRequest.Phase;
import topazladder.request.Decision;
import topazladder.request.GiveUpReason;
import topazladder.request.LearnedEstimate;
import topazladder.request.Outcome;
import topazladder.request.Request;

/**
 * Decides which requests one server admits, runs and rejects. Each server process has its own controller and shares no
 * state with others. The caller of the controller reports every event with one method call, passing the time in seconds
 * since the start of the server, and applies the returned decisions in order. The controller does no I/O, gets its time
 * and its random numbers from the caller, and must be used by a single thread.
 *
 * <p>A request passes through these stages in order, each of which implements one rule:
 *
 * <ol>
 * <li>{@link IdempotencyGuard}: no request with an idempotency key runs twice;
 * <li>{@link DrainGate}: during a graceful shutdown, a request that could not finish in time is not admitted;
 * <li>{@link MemoryGuard}: the requests in flight fit into the memory;
 * <li>{@link AdmissionLevel}: under overload, requests of low rank are rejected;
 * <li>{@link AdmissionQueue}: other requests wait for a core as long as they can still finish in time;
 * <li>{@link ConcurrencyLimiter}: the number of concurrent runs is limited;
 * <li>{@link DependencyLimiter}: the number of concurrent dependency calls is limited.
 * </ol>
 *
 * <p>An event for a request that has already ended, or that does not apply to its current phase, is ignored.
 */
public final class AdmissionController {
    private final AdmissionContext context;
    private final RequestRegistry registry = new RequestRegistry();
    private final WorkloadStatistics statistics;
    private final MemoryBudget memory;
    private final DrainSchedule drain;
    private final RetryAdvice retryAdvice;
    private final PeerEstimates peerEstimates;
    private final UncertainStarts uncertainStarts;
    private final IdleConnectionPolicy idleConnections;

    private final IdempotencyGuard idempotencyGuard;
    private final AdmissionLevel admissionLevel;
    private final AdmissionQueue admissionQueue;
    private final ConcurrencyLimiter concurrencyLimiter;
    private final DependencyLimiter dependencyLimiter;

    /** Creates a controller at time 0; call {@link #start} before reporting any other event. */
    public AdmissionController(RandomGenerator random, AdmissionSettings settings) {
        RequestTerminator terminator = new Terminator();
        context = new AdmissionContext(random, settings);
        statistics = new WorkloadStatistics(context);
        drain = new DrainSchedule(context, statistics);
        RememberedKeys keys = new RememberedKeys(settings);
        memory = new MemoryBudget(context, keys);
        RequestQueue queue = new RequestQueue(context, statistics);
        DependencyCalls calls = new DependencyCalls();
        DependencyCallLimit callLimit = new DependencyCallLimit(context);
        retryAdvice = new RetryAdvice(context, statistics, queue, drain);
        peerEstimates = new PeerEstimates(context, statistics, callLimit);
        uncertainStarts = new UncertainStarts(context, statistics, registry);

        // Built from the last stage to the first, as each stage holds a reference to the next.
        concurrencyLimiter = new ConcurrencyLimiter(context, memory, queue, calls);
        dependencyLimiter = new DependencyLimiter(context, memory, calls, callLimit, concurrencyLimiter, terminator);
        idleConnections = new IdleConnectionPolicy(context, statistics, concurrencyLimiter);
        admissionQueue = new AdmissionQueue(context, statistics, drain, queue, concurrencyLimiter, terminator);
        admissionLevel =
                new AdmissionLevel(context, statistics, queue, concurrencyLimiter, terminator, admissionQueue);
        MemoryGuard memoryGuard = new MemoryGuard(memory, terminator, admissionLevel);
        DrainGate drainGate = new DrainGate(statistics, drain, terminator, memoryGuard);
        idempotencyGuard =
                new IdempotencyGuard(context, registry, keys, memory, retryAdvice, terminator, drainGate);
    }

    /** The server has started: it reports itself healthy from now on and schedules its first tick. */
    public List<Decision> start(double time) {
        return decide(time, () -> {
            context.emit(new Decision.SetHealth(true));
            context.emit(new Decision.ScheduleTick(context.tickSeconds()));
        });
    }

    /** A request was read from its caller. */
    public List<Decision> requestArrived(double time, Request request) {
        return decide(time, () -> {
            TrackedRequest tracked = new TrackedRequest(request, context.now());
            statistics.arrived(request);
            registry.add(tracked);
            memory.charge(tracked);
            idempotencyGuard.admit(tracked);
        });
    }

    /** The run of the request asks for a dependency call; it occupies no core while it waits for the call. */
    public List<Decision> dependencyCallRequested(double time, Request request) {
        return decide(time, request, tracked -> {
            if (tracked.phase != Phase.RUNNING) {
                return;
            }
            uncertainStarts.startConfirmed(tracked);
            concurrencyLimiter.leaveCores(tracked);
            admissionQueue.startRequestsThatFit();
            if (tracked.answered) {
                // No call is made for a result that nobody waits for. The decision lets the host of the controller end
                // the run at its call. The dispatcher of a service sends no second answer for it, and its runtime ends
                // such a run by itself.
                context.emit(new Decision.Fail(request, GiveUpReason.ALREADY_ANSWERED));
            } else {
                dependencyLimiter.admit(tracked);
            }
        });
    }

    /** The connection to the runtime was lost after the start was written, so the runtime may not have read it. */
    public List<Decision> startUncertain(double time, Request request) {
        return decide(time, request, tracked -> {
            if (tracked.phase == Phase.RUNNING) {
                uncertainStarts.startUncertain(tracked);
            }
        });
    }

    /** The dependency call of the request ended after the given number of seconds. */
    public List<Decision> dependencyCallEnded(double time, Request request, Outcome outcome, double elapsedSeconds) {
        return decide(time, request, tracked -> {
            if (tracked.phase == Phase.CALLING) {
                dependencyLimiter.callEnded(tracked, outcome, elapsedSeconds);
            }
        });
    }

    /** The run of the request, or for a duplicate that of its original, ended after the given number of seconds. */
    public List<Decision> runEnded(double time, Request request, Outcome outcome, double elapsedSeconds) {
        return decide(time, request, tracked -> {
            if (outcome == Outcome.SUCCEEDED && !tracked.answered && tracked.phase == Phase.RUNNING) {
                statistics.completed(tracked.requestClass, elapsedSeconds);
            }
            // After an outcome without an effect a retry may run.
            tracked.mayHaveTakenEffect &= !outcome.provesNoEffect();
            close(tracked);
        });
    }

    /** The caller of the request has disconnected and no longer waits for its answer. */
    public List<Decision> callerDisconnected(double time, Request request) {
        return decide(time, request, tracked -> {
            tracked.answered = true;
            if (tracked.phase == Phase.RUNNING) {
                cancelRun(tracked);
            } else if (!tracked.isOffCores()) {
                close(tracked);
            }
        });
    }

    /** A tick scheduled by {@link Decision.ScheduleTick} is due. */
    public List<Decision> tick(double time, RuntimeGauges gauges) {
        return decide(time, () -> {
            answerDueRequests();
            idempotencyGuard.tick();
            admissionLevel.tick();
            admissionQueue.tick();
            uncertainStarts.tick();
            concurrencyLimiter.tick(gauges);
            idleConnections.tick(gauges);
            dependencyLimiter.tick();
            context.emit(new Decision.ScheduleTick(context.tickSeconds()));
        });
    }

    /** Begins a graceful shutdown: every request in flight is answered before the server stops. */
    public List<Decision> drain(double time, double secondsToStop) {
        return decide(time, () -> {
            drain.begin(secondsToStop);
            context.emit(new Decision.SetHealth(false));
        });
    }

    /** The estimates measured by this server that apply to its peers too; empty until there are enough samples. */
    public List<LearnedEstimate> learnedEstimates(double time) {
        context.setNow(Math.max(context.now(), time));
        return peerEstimates.own();
    }

    /** Takes estimates measured by peers as starting values of those that this server has not measured itself yet. */
    public List<Decision> learn(double time, List<LearnedEstimate> estimates) {
        return decide(time, () -> peerEstimates.learn(estimates));
    }

    /** Whether the request is in flight, so that further decisions may concern it. */
    public boolean isInFlight(Request request) {
        return registry.contains(request);
    }

    private List<Decision> decide(double time, Runnable event) {
        if (time > context.now()) {
            registry.timeAdvanced();
        }
        context.setNow(time);
        event.run();
        return context.takeEmitted();
    }

    private List<Decision> decide(double time, Request request, Consumer<TrackedRequest> event) {
        TrackedRequest tracked = registry.find(request);
        return decide(time, () -> {
            if (tracked != null) {
                event.accept(tracked);
            }
        });
    }

    private void answerDueRequests() {
        for (TrackedRequest request : registry.snapshot()) {
            boolean due = context.now() + context.tickSeconds() >= Math.min(request.deadline, drain.lastAnswerAt());
            if (!request.answered && due) {
                giveUp(request, request.deadline <= drain.lastAnswerAt() ? GiveUpReason.DEADLINE
                        : GiveUpReason.DRAINING);
            }
        }
    }

    private void giveUp(TrackedRequest request, GiveUpReason reason) {
        answerWithoutResult(request, reason);
        stopWork(request);
    }

    /** Rejects a request that may be retried, as it had no effect or is retry-safe; fails any other. */
    private void answerWithoutResult(TrackedRequest request, GiveUpReason reason) {
        if (!request.mayHaveTakenEffect || request.isRetrySafe()) {
            retryAdvice.reject(request, reason);
        } else {
            context.emit(new Decision.Fail(request.request, reason));
            request.answered = true;
        }
    }

    /**
     * Cancels a run that occupies a core if the runtime supports that. A run that is not cancelled, or that waits for
     * its dependency call, stays in flight until its end is reported. A request without a run is closed at once.
     */
    private void stopWork(TrackedRequest request) {
        switch (request.phase) {
            case RUNNING -> {
                statistics.gaveUpRun(request.requestClass, context.now() - request.startedAt);
                cancelRun(request);
            }
            // The request is closed once the end of its run is reported.
            case CALLING, AWAITING_CALL -> dependencyLimiter.abandon(request);
            default -> close(request);
        }
    }

    private void cancelRun(TrackedRequest request) {
        if (context.settings().runCancellation() != RunCancellation.UNSUPPORTED) {
            context.emit(new Decision.CancelRun(request.request));
        }
    }

    /** Releases what each stage holds for the request, last stage first, and starts queued requests that now fit. */
    private void close(TrackedRequest request) {
        dependencyLimiter.onClosing(request);
        concurrencyLimiter.onClosing(request);
        admissionQueue.onClosing(request);
        idempotencyGuard.onClosing(request);
        memory.move(request, Phase.CLOSED);
        registry.remove(request);
        idempotencyGuard.releaseDuplicates(request);
        admissionQueue.startRequestsThatFit();
    }

    /** Gives the stages access to {@code giveUp} and {@code close} without making them public. */
    private final class Terminator implements RequestTerminator {
        @Override
        public void giveUp(TrackedRequest request, GiveUpReason reason) {
            AdmissionController.this.giveUp(request, reason);
        }

        @Override
        public void close(TrackedRequest request) {
            AdmissionController.this.close(request);
        }
    }
}
