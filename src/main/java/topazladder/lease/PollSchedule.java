package topazladder.lease;

import java.util.LinkedHashMap;
import java.util.OptionalDouble;

/**
 * When a member polls the leader, and what it knows of the polls that are not answered yet.
 *
 * <p>With a response at hand, the next poll is due after the interval that the leader asked for, or a quarter of the
 * shortest lease held where that is less. Without one, it goes to another voter after an eighth of the shortest lease;
 * where there is something to report or to hold on to, after a second at most. One that was asked for is due at once.
 */
final class PollSchedule {
    /** Part of the shortest lease after which it is renewed. */
    private static final double RENEW_AFTER = 0.25;
    /** Part of the shortest lease after which a poll without a response is repeated. */
    private static final double RETRY_AFTER = 0.125;
    /** Polls whose time is remembered; responses to older ones are ignored. */
    private static final int MAX_IN_FLIGHT = 16;
    /** Before a leader has asked for an interval, and at most where something is to be reported. */
    private static final double INITIAL_INTERVAL_SECONDS = 1;

    private final LinkedHashMap<Long, Double> sentAt = new LinkedHashMap<>(); // by sequence, those not answered
    private long sequence;
    private double lastSentAt = Double.NEGATIVE_INFINITY;
    private double lastAnsweredSentAt = Double.NEGATIVE_INFINITY;
    private double intervalSeconds = INITIAL_INTERVAL_SECONDS;
    private boolean atOnce = true;

    /** The next poll is due at once. */
    void pollAtOnce() {
        atOnce = true;
    }

    /** Whether a poll is due. */
    boolean isDue(double now, HeldLeases leases) {
        return atOnce && lastSentAt < now || now - lastSentAt >= waitSeconds(leases);
    }

    /** When the next poll is due, unless one is asked for before. */
    double nextPollAt(HeldLeases leases) {
        return lastSentAt + waitSeconds(leases);
    }

    /** Whether the next poll should go to another voter, as the last one got no response in time. */
    boolean shouldTryOtherVoter() {
        return isUnanswered() && !atOnce;
    }

    /** A poll is sent now; returns its sequence number. */
    long sent(double now) {
        atOnce = false;
        lastSentAt = now;
        sequence++;
        sentAt.put(sequence, now);
        if (sentAt.size() > MAX_IN_FLIGHT) {
            sentAt.remove(sentAt.keySet().iterator().next());
        }
        return sequence;
    }

    /** When the poll was sent that is answered now; empty for one that is unknown, or was answered before. */
    OptionalDouble answered(LeaseResponse response) {
        Double sent = sentAt.remove(response.sequence());
        if (sent == null) {
            return OptionalDouble.empty();
        }
        lastAnsweredSentAt = Math.max(lastAnsweredSentAt, sent);
        intervalSeconds = response.pollAfterSeconds();
        return OptionalDouble.of(sent);
    }

    private boolean isUnanswered() {
        return lastAnsweredSentAt < lastSentAt;
    }

    private double waitSeconds(HeldLeases leases) {
        double shortest = leases.shortestDurationSeconds();
        if (!isUnanswered()) {
            return Math.min(intervalSeconds, shortest * RENEW_AFTER);
        }
        boolean urgent = !leases.isEmpty() || atOnce;
        double retryAfter = urgent ? Math.min(intervalSeconds, INITIAL_INTERVAL_SECONDS) : intervalSeconds;
        return Math.min(retryAfter, shortest * RETRY_AFTER);
    }

    /** For operators. */
    String describe() {
        return sequence + " asks, " + sentAt.size() + " open";
    }
}
