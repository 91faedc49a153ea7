package topazladder.net;

/**
 * Detects a caller that says nothing, or stops within a message, for too long. Time is counted in sweeps: in a pause of
 * the machine nobody can say anything, and no sweep is made.
 */
final class MessageTimeout {
    private static final long TIMEOUT_MILLIS = 2000;
    private static final int MAX_SWEEPS = (int) (TIMEOUT_MILLIS / CallerServer.SWEEP_PERIOD_MILLIS);

    private boolean awaitingMessage = true; // one has not come whole
    private int sweeps; // since it is awaited

    /**
     * Bytes were read.
     *
     * @param wholeMessage whether a message came whole with them
     * @param partialMessage whether the start of another is left
     */
    void bytesRead(boolean wholeMessage, boolean partialMessage) {
        if (wholeMessage || !awaitingMessage) {
            sweeps = 0;
        }
        awaitingMessage = partialMessage;
    }

    /** Counts a sweep, and returns whether the message is overdue. */
    boolean isOverdueAtSweep() {
        return awaitingMessage && ++sweeps > MAX_SWEEPS;
    }
}
