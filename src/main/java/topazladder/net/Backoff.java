package topazladder.net;

/** Exponential backoff without jitter: each delay is twice the one before, up to a bound. */
final class Backoff {
    private static final long INITIAL_DELAY_MILLIS = 20;
    private static final long MAX_DELAY_MILLIS = 1000;

    private long nextMillis = INITIAL_DELAY_MILLIS;

    /** Returns the delay before the next attempt, and doubles the one after it. */
    long nextDelayMillis() {
        long delayMillis = nextMillis;
        nextMillis = Math.min(MAX_DELAY_MILLIS, 2 * nextMillis);
        return delayMillis;
    }

    void reset() {
        nextMillis = INITIAL_DELAY_MILLIS;
    }
}
