package topazladder.consensus;

/**
 * Detects that the leader a follower believes in has been silent for too long.
 *
 * <p>It works around a defect of MicroRaft 0.7: a follower that restarts and finds the same leader in the same term
 * never times that leader out. Once every follower has restarted under one leader, the group would not survive that
 * leader's failure.
 */
final class LeaderSilenceDetector {
    /** Heartbeats after which the library should have started an election; its own timeout is five. */
    private static final double TOLERATED_HEARTBEATS = 8;

    private final double heartbeatsPerTick;
    private int silentTicks;

    LeaderSilenceDetector(double heartbeatsPerTick) {
        this.heartbeatsPerTick = heartbeatsPerTick;
    }

    /** Restarts the count: the leader was heard, or the raft node was replaced. */
    void reset() {
        silentTicks = 0;
    }

    /**
     * Counts one tick without a message from the leader.
     *
     * @param follower whether this voter believes that another one leads
     * @return whether the leader has been silent for longer than the library should tolerate
     */
    boolean tick(boolean follower) {
        silentTicks = follower ? silentTicks + 1 : 0;
        return silentTicks * heartbeatsPerTick > TOLERATED_HEARTBEATS;
    }
}
