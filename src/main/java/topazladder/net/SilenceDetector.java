package topazladder.net;

/**
 * Detects that the other end of a link is gone though no packet said so: nothing came for a while, and through many
 * questions. Both, as after a pause of this machine the time is long and nothing was asked.
 */
final class SilenceDetector {
    private static final long MAX_SILENCE_NANOS = 5_000_000_000L;
    private static final int MAX_UNANSWERED_QUESTIONS = 100;

    private int unansweredQuestions;
    private long lastReceivedNanos = System.nanoTime();

    /** Something came. */
    void received() {
        unansweredQuestions = 0;
        lastReceivedNanos = System.nanoTime();
    }

    /** Counts a question; returns whether the link is silent, and then begins anew. */
    boolean isSilentAtQuestion() {
        boolean silent = ++unansweredQuestions > MAX_UNANSWERED_QUESTIONS
                && System.nanoTime() - lastReceivedNanos > MAX_SILENCE_NANOS;
        if (silent) {
            received();
        }
        return silent;
    }
}
