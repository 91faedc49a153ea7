package topazladder.admission;

import topazladder.request.Decision;

/**
 * Rejects requests, and advises their callers when to retry here and whether to retry elsewhere.
 *
 * <p>Retry-After is the time until the queue is back at its target: {@code (queued - target) / completions a second},
 * at most what the settings allow; sooner, the caller would only be rejected again.
 *
 * <p>Where all servers are full, each retry costs a read somewhere and makes it worse for all. Whether that is so shows
 * in how many of the requests that come are retries: a retry is always advised against another one, a first try with
 * ten times the share of retries as its probability, as a tenth of retries is sign enough. A server that drains
 * advises to go elsewhere.
 */
final class RetryAdvice {
    private static final double PROBABILITY_PER_RETRY_SHARE = 10;

    private final AdmissionContext context;
    private final WorkloadStatistics statistics;
    private final RequestQueue queue;
    private final DrainSchedule drain;

    RetryAdvice(AdmissionContext context, WorkloadStatistics statistics, RequestQueue queue, DrainSchedule drain) {
        this.context = context;
        this.statistics = statistics;
        this.queue = queue;
        this.drain = drain;
    }

    /** Rejects the request with both kinds of advice. */
    void reject(TrackedRequest request) {
        reject(request, queueDrainSeconds(), isFleetFull(request));
    }

    /** Rejects the request with an advice of the caller's own. */
    void reject(TrackedRequest request, double retryAfterSeconds, boolean doNotRetryElsewhere) {
        AdmissionSettings settings = context.settings();
        double maxSeconds = settings.retryAfterAllowed() ? settings.maxRetryAfterSeconds() : 0;
        context.emit(new Decision.Reject(request.request, Math.min(retryAfterSeconds, maxSeconds),
                doNotRetryElsewhere));
        request.answered = true;
    }

    private double queueDrainSeconds() {
        double rate = drain.isDraining() ? 0 : statistics.completionRate();
        return rate <= 0 ? context.shortestObjectiveSeconds()
                : Math.max(0, queue.size() - statistics.queueTarget()) / rate;
    }

    private boolean isFleetFull(TrackedRequest request) {
        return !drain.isDraining() && (request.request.retry()
                || context.random().nextDouble() < PROBABILITY_PER_RETRY_SHARE * statistics.retryShare());
    }
}
