package topazladder.admission;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.Request;
import topazladder.request.RequestClass;

/** Measurements of requests and runs, shared by all rules. */
final class WorkloadStatistics {
    private static final int RUN_TIME_WINDOW_RUNS = 10;
    private static final int QUEUED_TIME_WINDOW_REQUESTS = 10;
    /** With a smaller window, a single retry would look like an overloaded fleet. */
    private static final int RETRY_SHARE_WINDOW_REQUESTS = 40;
    /** Waiting may take half of the latency objective, which leaves the other half for the run. */
    private static final double WAITING_SHARE_OF_OBJECTIVE = 0.5;
    /** After this multiple of the shortest latency objective, the peers' completion rate is no longer used. */
    private static final double OBJECTIVES_UNTIL_OWN_RATE = 2;
    /**
     * Upper bound of run times learned from peers, as a fraction of the latency objective. A wrong estimate must not
     * make the server give up requests that it could start at once.
     */
    private static final double MAX_LEARNED_RUN_TIME_PER_OBJECTIVE = 0.6;

    private final AdmissionContext context;
    private final Map<RequestClass, ExponentialMean> runTimes = new LinkedHashMap<>();
    private final ExponentialMean retryShare = new ExponentialMean(RETRY_SHARE_WINDOW_REQUESTS);
    private final ExponentialMean queuedSeconds = new ExponentialMean(QUEUED_TIME_WINDOW_REQUESTS);
    private final DecayingRate completions;
    private final DecayingRate reads;
    private double peerCompletionRate;

    WorkloadStatistics(AdmissionContext context) {
        this.context = context;
        context.settings().requestClasses()
                .forEach(requestClass -> runTimes.put(requestClass, new ExponentialMean(RUN_TIME_WINDOW_RUNS)));
        completions = new DecayingRate(context.shortestObjectiveSeconds(), context.now());
        reads = new DecayingRate(context.shortestObjectiveSeconds(), context.now());
    }

    /** Counts every request that is read, including duplicates. */
    void arrived(Request request) {
        retryShare.add(request.retry() ? 1 : 0, context.now());
    }

    /** Counts a request that is neither a duplicate nor rejected for lack of key memory. */
    void read(Request request) {
        reads.add(1, context.now());
        queuedSeconds.add(request.queuedSeconds(), context.now());
    }

    void completed(RequestClass requestClass, double runSeconds) {
        completions.add(1, context.now());
        runTimes.get(requestClass).add(runSeconds, context.now());
    }

    /** Counts a run that was given up with its run time so far, which is a lower bound. */
    void gaveUpRun(RequestClass requestClass, double runSeconds) {
        runTimes.get(requestClass).add(runSeconds, context.now());
    }

    /** Mean run time of the class, in seconds; 0 while unknown. */
    double runSeconds(RequestClass requestClass) {
        return runTimes.get(requestClass).value();
    }

    /** Whether the answer would have no value any more if the request started after the given wait. */
    boolean endsTooLate(TrackedRequest request, double waitSeconds) {
        return context.now() + waitSeconds + runSeconds(request.requestClass) > request.usefulUntil;
    }

    /** Fraction of retries and hedged requests among recent requests, from 0 to 1. */
    double retryShare() {
        return retryShare.value();
    }

    /** Requests read per second. */
    double readRate() {
        return reads.perSecond(context.now());
    }

    /** Number of unread requests on the machine, by Little's law: read rate times mean time until the read. */
    double unreadRequests() {
        return readRate() * queuedSeconds.value();
    }

    /** Requests completed per second. */
    double completionRate() {
        return completions.perSecond(context.now());
    }

    /** Queued requests started per second; 0 while unknown. */
    double startRate() {
        // Shortly after the start, the peers' completion rate is known before this server's own.
        boolean starting = context.now() < OBJECTIVES_UNTIL_OWN_RATE * context.shortestObjectiveSeconds();
        double learnedRate = starting ? peerCompletionRate * context.serverSpeed() : 0;
        double rate = Math.max(completionRate(), learnedRate);
        return context.now() < AdmissionContext.STARTUP_SECONDS && learnedRate <= 0 ? 0 : rate;
    }

    /**
     * The target length of the queue, K in the paper that {@link AdmissionLevel} cites: the requests completed in half
     * the shortest latency objective, so that queued requests still have time to run; at least one request per core.
     */
    double queueTarget() {
        return Math.max(context.settings().cores(),
                completionRate() * context.shortestObjectiveSeconds() * WAITING_SHARE_OF_OBJECTIVE);
    }

    /** Takes run times and completion rates of peers as starting values, scaled by the speed of this server. */
    void learn(LearnedEstimate estimate) {
        if (estimate.kind() == Kind.COMPLETION_RATE) {
            peerCompletionRate = estimate.value();
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
