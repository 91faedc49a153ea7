package topazladder.delivery;

/**
 * How many deliveries of one queue are in hand at most. It follows what the module did with the last ones: rejected,
 * the
 * queue is asked for half as many; all served with the window full, for one more. A level above the queue's rank
 * stops it, as a caller that heeds would send nothing; one message a while finds out that it is over.
 */
final class Prefetch {
    private static final double LOOK = 0.5;

    private final int most;
    private int window = 1;
    private int served;
    private int rejected;
    private boolean full;
    private double nextLook;

    Prefetch(int most) {
        this.most = most;
    }

    int window() {
        return window;
    }

    void ended(boolean wasRejected) {
        if (wasRejected) {
            rejected++;
        } else {
            served++;
        }
    }

    /** All that may be in hand is in hand: only then more would be of use. */
    void filled() {
        full = true;
    }

    /**
     * @param highestRank that the queue's messages had of late
     * @param level posted by the module, or 0
     * @param crowded past what the instance has memory or a place for
     * @return whether the window has changed
     */
    boolean look(double now, double highestRank, double level, boolean crowded) {
        if (now < nextLook) {
            return false;
        }
        nextLook = now + LOOK;
        int before = window;
        if (crowded || highestRank < level) {
            window = 1;
        } else if (rejected > 0) {
            window = Math.max(1, window / 2);
        } else if (full && served > 0) {
            window = Math.min(most, window + Math.max(1, window / 4));
        }
        served = 0;
        rejected = 0;
        full = false;
        return window != before;
    }
}
