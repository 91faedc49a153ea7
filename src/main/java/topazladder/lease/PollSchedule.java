package topazladder.lease;

import java.util.LinkedHashMap;
import java.util.OptionalDouble;

/**
 * Determines when a member polls the leader, and tracks the polls that are not answered yet.
 *
 * <p>If the last poll was answered, the next one is due after the interval that the leader requested, or after a
 * quarter of the shortest lease duration held if that is less. If it was not answered, the next one goes to another
 * voter after the same interval, or after an eighth of the shortest lease duration if that is less; with leases to
 * renew or report, after one second at most. A poll that was requested explicitly is due at once.
 */
final class PollSchedule {
    /** Fraction of the shortest lease duration after which leases are renewed. */
    private static final double RENEW_AFTER = 0.25;
    /** Fraction of the shortest lease duration after which an unanswered poll is repeated. */
    private static final double RETRY_AFTER = 0.125;
    /** Number of unanswered polls that are tracked; responses to older ones are ignored. */
    private static final int MAX_IN_FLIGHT = 16;
    /** Interval until a leader requests another; also the longest retry interval with leases to renew or report. */
    private static final double INITIAL_INTERVAL_SECONDS = 1;

    private final LinkedHashMap<Long, Double> sentAt = new LinkedHashMap<>(); // unanswered polls, by sequence number
    private long sequence;
    private double lastSentAt = Double.NEGATIVE_INFINITY;
    private double lastAnsweredSentAt = Double.NEGATIVE_INFINITY;
    private double intervalSeconds = INITIAL_INTERVAL_SECONDS;
    private boolean pollRequested = true;

    /** Makes the next poll due immediately. */
    void requestPoll() {
        pollRequested = true;
    }

    /** Whether a poll is due. */
    boolean isDue(double now, HeldLeases leases) {
        return pollRequested && lastSentAt < now || now - lastSentAt >= waitSeconds(leases);
    }

    /** When the next poll is due, unless an immediate one is requested before. */
    double nextPollAt(HeldLeases leases) {
        return lastSentAt + waitSeconds(leases);
    }

    /** Whether the next poll should go to another voter, as the last one was not answered in time. */
    boolean shouldTryOtherVoter() {
        return isLastPollUnanswered() && !pollRequested;
    }

    /** Records that a poll is sent now; returns its sequence number. */
    long recordPoll(double now) {
        pollRequested = false;
        lastSentAt = now;
        sequence++;
        sentAt.put(sequence, now);
        if (sentAt.size() > MAX_IN_FLIGHT) {
            sentAt.remove(sentAt.keySet().iterator().next());
        }
        return sequence;
    }

    /** Records a response; returns when its poll was sent, or empty if that poll is unknown or was answered before. */
    OptionalDouble recordResponse(LeaseResponse response) {
        Double sent = sentAt.remove(response.sequence());
        if (sent == null) {
            return OptionalDouble.empty();
        }
        lastAnsweredSentAt = Math.max(lastAnsweredSentAt, sent);
        intervalSeconds = response.pollAfterSeconds();
        return OptionalDouble.of(sent);
    }

    private boolean isLastPollUnanswered() {
        return lastAnsweredSentAt < lastSentAt;
    }

    private double waitSeconds(HeldLeases leases) {
        double shortest = leases.shortestDurationSeconds();
        if (!isLastPollUnanswered()) {
            return Math.min(intervalSeconds, shortest * RENEW_AFTER);
        }
        boolean urgent = !leases.isEmpty() || pollRequested;
        double retryAfter = urgent ? Math.min(intervalSeconds, INITIAL_INTERVAL_SECONDS) : intervalSeconds;
        return Math.min(retryAfter, shortest * RETRY_AFTER);
    }

    /** Number of polls sent, and of the latest {@value #MAX_IN_FLIGHT} that are unanswered. */
    String describe() {
        return "polls=" + sequence + " unanswered=" + sentAt.size();
    }
}
