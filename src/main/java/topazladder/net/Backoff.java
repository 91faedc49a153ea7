package topazladder.net;

/** Waits between tries to reach what can't be reached, each twice the one before. */
final class Backoff {
    private static final long FIRST_MS = 20;
    private static final long LONGEST_MS = 1000;

    private long next = FIRST_MS;

    long next() {
        long wait = next;
        next = Math.min(LONGEST_MS, 2 * next);
        return wait;
    }

    void reset() {
        next = FIRST_MS;
    }
}
