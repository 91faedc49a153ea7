package topazladder.consensus;

/**
 * Finds a leader that a follower believes in and that says nothing.
 *
 * <p>MicroRaft 0.7: a follower that was started again, and found its leader in the term that it left, never takes that
 * leader for dead. Once all followers were started again under one leader, its end would be the group's.
 */
final class LeaderSilenceDetector {
    /** After as many heartbeats the library should have started an election: it gives a leader up after five. */
    private static final double TOLERATED_HEARTBEATS = 8;

    private final double heartbeatsPerTick;
    private int silentTicks;

    LeaderSilenceDetector(double heartbeatsPerTick) {
        this.heartbeatsPerTick = heartbeatsPerTick;
    }

    /** The leader was heard, or the raft node is a new one. */
    void reset() {
        silentTicks = 0;
    }

    /**
     * Counts one tick.
     *
     * @param follower whether another voter is believed to lead
     * @return whether the leader is silent for longer than the library should bear
     */
    boolean tick(boolean follower) {
        silentTicks = follower ? silentTicks + 1 : 0;
        return silentTicks * heartbeatsPerTick > TOLERATED_HEARTBEATS;
    }
}
