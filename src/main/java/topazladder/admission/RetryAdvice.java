package topazladder.admission;

import topazladder.request.Decision;
import topazladder.request.GiveUpReason;

/**
 * Rejects requests, and advises their callers when to retry here and whether to retry elsewhere.
 *
 * <p>Retry-After, in seconds, is at most {@link AdmissionSettings#maxRetryAfterSeconds}, and
 *
 * <ul>
 * <li>0, for no advice, where the settings don't allow any;
 * <li>the time until the queue is back at its target, {@code max(0, queued - target) / completions a second}, as a
 * retry before that would be rejected again;
 * <li>the shortest latency objective of all classes while the rate of completions is unknown, or the server drains;
 * <li>a tenth of the window of the request's idempotency key where there is no memory for another key, as
 * {@link IdempotencyGuard} advises by itself.
 * </ul>
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
    void reject(TrackedRequest request, GiveUpReason reason) {
        reject(request, queueDrainSeconds(), isFleetFull(request), reason);
    }

    /** Rejects the request with an advice of the caller's own. */
    void reject(TrackedRequest request, double retryAfterSeconds, boolean doNotRetryElsewhere, GiveUpReason reason) {
        AdmissionSettings settings = context.settings();
        double maxSeconds = settings.retryAfterAllowed() ? settings.maxRetryAfterSeconds() : 0;
        context.emit(new Decision.Reject(request.request, Math.min(retryAfterSeconds, maxSeconds),
                doNotRetryElsewhere, reason));
        request.answered = true;
    }

    private double queueDrainSeconds() {
        double rate = drain.isDraining() ? 0 : statistics.completionRate();
        return rate <= 0 ? secondsWithoutKnownRate()
                : Math.max(0, queue.size() - statistics.queueTarget()) / rate;
    }

    private double secondsWithoutKnownRate() {
        return context.shortestObjectiveSeconds();
    }

    private boolean isFleetFull(TrackedRequest request) {
        return !drain.isDraining() && (request.request.retry()
                || context.random().nextDouble() < PROBABILITY_PER_RETRY_SHARE * statistics.retryShare());
    }
}
