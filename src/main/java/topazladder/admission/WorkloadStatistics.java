package topazladder.admission;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Request;
import topazladder.request.RequestClass;

/** Owns what is measured of the requests and their runs, as all rules use it. */
final class WorkloadStatistics {
    private static final int RUN_TIME_WINDOW_RUNS = 10;
    private static final int QUEUED_TIME_WINDOW_REQUESTS = 10;
    /** Over fewer, a single retry would look like a fleet that is full. */
    private static final int RETRY_SHARE_WINDOW_REQUESTS = 40;
    /** A request that waits for half of its latency objective still has the other half to run. */
    private static final double WAITING_SHARE_OF_OBJECTIVE = 0.5;
    /** In so many latency objectives the own rate of completions has taken the place of the peers'. */
    private static final double OBJECTIVES_UNTIL_OWN_RATE = 2;
    /** A wrong run time from a peer must not make hopeless what could start at once. */
    private static final double MAX_LEARNED_RUN_TIME_PER_OBJECTIVE = 0.6;

    private final AdmissionContext context;
    private final Map<RequestClass, ExponentialMean> runTimes = new LinkedHashMap<>();
    private final ExponentialMean retryShare = new ExponentialMean(RETRY_SHARE_WINDOW_REQUESTS);
    private final ExponentialMean queuedSeconds = new ExponentialMean(QUEUED_TIME_WINDOW_REQUESTS);
    private final DecayingRate completions;
    private final DecayingRate reads;
    private double peersCompletionRate;

    WorkloadStatistics(AdmissionContext context) {
        this.context = context;
        context.settings().requestClasses()
                .forEach(requestClass -> runTimes.put(requestClass, new ExponentialMean(RUN_TIME_WINDOW_RUNS)));
        completions = new DecayingRate(context.shortestObjectiveSeconds(), context.now());
        reads = new DecayingRate(context.shortestObjectiveSeconds(), context.now());
    }

    void arrived(Request request) {
        retryShare.add(request.retry() ? 1 : 0, context.now());
    }

    /** Counts a request that is neither a duplicate nor refused for its idempotency key. */
    void read(Request request) {
        reads.add(1, context.now());
        queuedSeconds.add(request.queuedSeconds(), context.now());
    }

    void completed(RequestClass requestClass, double runSeconds) {
        completions.add(1, context.now());
        runTimes.get(requestClass).add(runSeconds, context.now());
    }

    /** Counts a run that was given up as one that took that long, as it took at least that. */
    void gaveUpRun(RequestClass requestClass, double runSeconds) {
        runTimes.get(requestClass).add(runSeconds, context.now());
    }

    /** Seconds that a run of the class takes on average; 0 as long as that is not known. */
    double runSeconds(RequestClass requestClass) {
        return runTimes.get(requestClass).value();
    }

    /** Whether the answer to the request has no value any more if it starts after the wait. */
    boolean endsTooLate(TrackedRequest request, double waitSeconds) {
        return context.now() + waitSeconds + runSeconds(request.requestClass) > request.usefulUntil;
    }

    /** The share of retries and hedged requests among those that arrived lately, from 0 to 1. */
    double retryShare() {
        return retryShare.value();
    }

    /** Requests read a second. */
    double readRate() {
        return reads.perSecond(context.now());
    }

    /**
     * Requests that lie unread on the machine, as Little's law has it: the rate of reads times the wait before them.
     */
    double unreadRequests() {
        return readRate() * queuedSeconds.value();
    }

    /** Requests completed a second. */
    double completionRate() {
        return completions.perSecond(context.now());
    }

    /** Requests of the queue that are started a second; 0 as long as that is not known. */
    double startRate() {
        // What peers complete is known sooner than what this server does.
        boolean starting = context.now() < OBJECTIVES_UNTIL_OWN_RATE * context.shortestObjectiveSeconds();
        double heard = starting ? peersCompletionRate * context.serverSpeed() : 0;
        double rate = Math.max(completionRate(), heard);
        return context.now() < AdmissionContext.START_SECONDS && heard <= 0 ? 0 : rate;
    }

    /**
     * The length that the queue should have, K in the paper: what is completed in half the shortest latency objective,
     * so that waiting leaves time to run; at least one request for each core.
     */
    double queueTarget() {
        return Math.max(context.settings().cores(),
                completionRate() * context.shortestObjectiveSeconds() * WAITING_SHARE_OF_OBJECTIVE);
    }

    /** Takes in what a peer learned of run times and completions, weighed for this machine. */
    void learn(LearnedEstimate estimate) {
        if (estimate.kind() == Kind.COMPLETION_RATE) {
            peersCompletionRate = estimate.value();
        } else if (estimate.kind() == Kind.RUN_TIME) {
            runTimes.forEach((requestClass, runTime) -> {
                if (requestClass.name().equals(estimate.subject())) {
                    runTime.learn(Math.min(estimate.value() / context.serverSpeed(),
                            requestClass.latencyObjectiveSeconds() * MAX_LEARNED_RUN_TIME_PER_OBJECTIVE),
                            estimate.weight());
                }
            });
        }
    }

    void collectRunTimes(List<LearnedEstimate> estimates) {
        runTimes.forEach((requestClass, runTime) -> runTime.collect(Kind.RUN_TIME, requestClass.name(),
                context.now(), estimates));
    }

    void collectCompletionRate(List<LearnedEstimate> estimates) {
        if (completionRate() > 0) {
            estimates.add(new LearnedEstimate(Kind.COMPLETION_RATE, "", completionRate(), completions.weight(), 0));
        }
    }
}
