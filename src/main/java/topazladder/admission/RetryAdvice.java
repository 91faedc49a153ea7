package topazladder.admission;

import topazladder.request.Decision;
import topazladder.request.GiveUpReason;

/**
 * Rejects requests and advises their callers when to retry on this server and whether to retry on another one.
 *
 * <p>Retry-After, in seconds, is capped at {@link AdmissionSettings#maxRetryAfterSeconds}, and is
 *
 * <ul>
 * <li>0, which means no advice, if the settings do not allow it;
 * <li>the time until the queue is back at its target, {@code max(0, queued - target) / completionRate}, as an earlier
 * retry would be rejected again;
 * <li>the shortest latency objective of all classes while the completion rate is unknown or the server drains;
 * <li>a tenth of the window of the idempotency key, set by {@link IdempotencyGuard}, if there is no memory for another
 * key.
 * </ul>
 *
 * <p>When all servers are overloaded, each retry costs some server a read and adds to the overload. The share of
 * retries among arriving requests indicates that state. A rejected retry is therefore always advised against retrying
 * elsewhere, and a first attempt with a probability of ten times the share of retries, as a share of a tenth already
 * indicates overload of the fleet. A draining server never advises against retrying elsewhere.
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

    /** Rejects the request with the advice derived from the current load. */
    void reject(TrackedRequest request, GiveUpReason reason) {
        reject(request, queueDrainSeconds(), isFleetOverloaded(request), reason);
    }

    /** Rejects the request with the given advice; the Retry-After is capped as the settings say. */
    void reject(TrackedRequest request, double retryAfterSeconds, boolean doNotRetryElsewhere, GiveUpReason reason) {
        AdmissionSettings settings = context.settings();
        double maxSeconds = settings.retryAfterAllowed() ? settings.maxRetryAfterSeconds() : 0;
        context.emit(new Decision.Reject(request.request, Math.min(retryAfterSeconds, maxSeconds),
                doNotRetryElsewhere, reason));
        request.answered = true;
    }

    private double queueDrainSeconds() {
        double rate = drain.isDraining() ? 0 : statistics.completionRate();
        return rate <= 0 ? secondsAtUnknownRate()
                : Math.max(0, queue.size() - statistics.queueTarget()) / rate;
    }

    private double secondsAtUnknownRate() {
        return context.shortestObjectiveSeconds();
    }

    private boolean isFleetOverloaded(TrackedRequest request) {
        return !drain.isDraining() && (request.request.retry()
                || context.random().nextDouble() < PROBABILITY_PER_RETRY_SHARE * statistics.retryShare());
    }
}
