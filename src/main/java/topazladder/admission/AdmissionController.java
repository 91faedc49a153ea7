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
 * Decides what one server admits, runs and rejects. One controller lives in each server process and shares nothing. Its
 * caller reports each event by one method, with the time in seconds since the start of the server, and carries out the
 * decisions that it returns, in their order. It does no I/O, takes time and chance from outside, and belongs to one
 * thread.
 *
 * <p>A request passes the stages in the order of the constructor's list, each a rule in a class of its own:
 *
 * <ol>
 * <li>{@link IdempotencyGuard}: no request with an idempotency key runs twice;
 * <li>{@link DrainGate}: in a graceful shutdown nothing is admitted that could not end in time;
 * <li>{@link MemoryGuard}: what is in flight fits into the memory;
 * <li>{@link AdmissionLevel}: under load, the requests of low rank are rejected;
 * <li>{@link AdmissionQueue}: the others wait for a core, for as long as that pays;
 * <li>{@link ConcurrencyLimiter}: so many run at once;
 * <li>{@link DependencyLimiter}: so many call the dependency at once, for those whose run asks for it.
 * </ol>
 *
 * <p>What reports an event too late, or for a request that is over, changes nothing.
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

    /** A controller at time 0; {@link #start} begins its work. */
    public AdmissionController(RandomGenerator random, AdmissionSettings settings) {
        RequestEndings endings = new Endings();
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

        // From the last stage to the first, as each hands on to the next.
        concurrencyLimiter = new ConcurrencyLimiter(context, memory, queue, calls);
        dependencyLimiter = new DependencyLimiter(context, memory, calls, callLimit, concurrencyLimiter, endings);
        idleConnections = new IdleConnectionPolicy(context, statistics, concurrencyLimiter);
        admissionQueue = new AdmissionQueue(context, statistics, drain, queue, concurrencyLimiter, endings);
        admissionLevel =
                new AdmissionLevel(context, statistics, queue, concurrencyLimiter, endings, admissionQueue);
        MemoryGuard memoryGuard = new MemoryGuard(memory, endings, admissionLevel);
        DrainGate drainGate = new DrainGate(statistics, drain, endings, memoryGuard);
        idempotencyGuard =
                new IdempotencyGuard(context, registry, keys, memory, retryAdvice, endings, drainGate);
    }

    /** The server is up: health checks are good from now on, and ticks begin. */
    public List<Decision> start(double time) {
        return decide(time, () -> {
            context.emit(new Decision.SetHealth(true));
            context.emit(new Decision.ScheduleTick(context.tickSeconds()));
        });
    }

    /** A request was read. */
    public List<Decision> requestArrived(double time, Request request) {
        return decide(time, () -> {
            TrackedRequest tracked = new TrackedRequest(request, context.now());
            statistics.arrived(request);
            registry.add(tracked);
            memory.charge(tracked);
            idempotencyGuard.admit(tracked);
        });
    }

    /** The run of the request waits for a dependency call, off the cores. */
    public List<Decision> dependencyCallRequested(double time, Request request) {
        return decide(time, request, tracked -> {
            if (tracked.phase != Phase.RUNNING) {
                return;
            }
            uncertainStarts.startConfirmed(tracked);
            concurrencyLimiter.leaveCores(tracked);
            admissionQueue.startWhatHasRoom();
            if (tracked.answered) {
                // No call is made for a result that nobody waits for. This lets whoever runs it end the run at its
                // call; a service's dispatcher sends no second answer, and its runtime ends such a run by itself.
                context.emit(new Decision.Fail(request, GiveUpReason.ALREADY_ANSWERED));
            } else {
                dependencyLimiter.admit(tracked);
            }
        });
    }

    /** The link to the runtime broke after the start was written; nothing shows that the runtime read it. */
    public List<Decision> startUncertain(double time, Request request) {
        return decide(time, request, tracked -> {
            if (tracked.phase == Phase.RUNNING) {
                uncertainStarts.startUncertain(tracked);
            }
        });
    }

    /** The dependency call of the request ended, after so many seconds. */
    public List<Decision> dependencyCallEnded(double time, Request request, Outcome outcome, double elapsedSeconds) {
        return decide(time, request, tracked -> {
            if (tracked.phase == Phase.CALLING) {
                dependencyLimiter.callEnded(tracked, outcome, elapsedSeconds);
            }
        });
    }

    /** The run of the request ended, or its original's for a duplicate, after so many seconds. */
    public List<Decision> runEnded(double time, Request request, Outcome outcome, double elapsedSeconds) {
        return decide(time, request, tracked -> {
            if (outcome == Outcome.SUCCEEDED && !tracked.answered && tracked.phase == Phase.RUNNING) {
                statistics.completed(tracked.requestClass, elapsedSeconds);
            }
            // Without an effect a retry may run after all.
            tracked.mayHaveTakenEffect &= !outcome.provesNoEffect();
            close(tracked);
        });
    }

    /** Nobody waits for the answer any more. */
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

    /** The time for which {@link Decision.ScheduleTick} asked has come. */
    public List<Decision> tick(double time, RuntimeGauges gauges) {
        return decide(time, () -> {
            answerWhatIsDue();
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

    /** The server is to shut down: all that is in flight will be answered before the stop. */
    public List<Decision> drain(double time, double secondsToStop) {
        return decide(time, () -> {
            drain.begin(secondsToStop);
            context.emit(new Decision.SetHealth(false));
        });
    }

    /** What was measured here and holds for other servers too; empty while there is too little. */
    public List<LearnedEstimate> learnedEstimates(double time) {
        context.setNow(Math.max(context.now(), time));
        return peerEstimates.own();
    }

    /** Takes in what peers measured, where nothing was measured here yet. */
    public List<Decision> learn(double time, List<LearnedEstimate> estimates) {
        return decide(time, () -> peerEstimates.learn(estimates));
    }

    /** Whether the request can still be named in a decision. */
    public boolean isInFlight(Request request) {
        return registry.contains(request);
    }

    private List<Decision> decide(double time, Runnable event) {
        if (time > context.now()) {
            registry.timeGoesOn();
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

    private void answerWhatIsDue() {
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

    /** Rejects a request that may be tried again, as it had no effect or is retry-safe; fails any other. */
    private void answerWithoutResult(TrackedRequest request, GiveUpReason reason) {
        if (!request.mayHaveTakenEffect || request.isRetrySafe()) {
            retryAdvice.reject(request, reason);
        } else {
            context.emit(new Decision.Fail(request.request, reason));
            request.answered = true;
        }
    }

    /**
     * Cancels a run on the cores where that can be done; else it goes on, and its end is reported later, as it is for a
     * run off the cores. Without a run the request is over.
     */
    private void stopWork(TrackedRequest request) {
        switch (request.phase) {
            case RUNNING -> {
                statistics.gaveUpRun(request.requestClass, context.now() - request.startedAt);
                cancelRun(request);
            }
            // The end of its run is still to be reported.
            case CALLING, AWAITING_CALL -> dependencyLimiter.abandon(request);
            default -> close(request);
        }
    }

    private void cancelRun(TrackedRequest request) {
        if (context.settings().runCancellation() != RunCancellation.UNSUPPORTED) {
            context.emit(new Decision.CancelRun(request.request));
        }
    }

    /** Passes the stages from the last to the first, and lets in what the end of the request makes room for. */
    private void close(TrackedRequest request) {
        dependencyLimiter.onClosing(request);
        concurrencyLimiter.onClosing(request);
        admissionQueue.onClosing(request);
        idempotencyGuard.onClosing(request);
        memory.move(request, Phase.CLOSED);
        registry.remove(request);
        idempotencyGuard.releaseFollowers(request);
        admissionQueue.startWhatHasRoom();
    }

    /** Lets the stages end requests, without showing that to the controller's callers. */
    private final class Endings implements RequestEndings {
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
