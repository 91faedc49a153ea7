package topazladder.rollout;

/**
 * One instance's part in a rollout.
 *
 * @param name of the instance
 * @param zone it runs in, or empty
 * @param isVoter whether it is a voter of the consensus group; voters are updated one at a time
 * @param wave in which it is updated
 * @param stage how far its update is
 * @param attempt number of its last request for a grant; 0 before the first
 */
public record RolloutTarget(String name, String zone, boolean isVoter, int wave, Stage stage, int attempt) {

    /** Printed by name, sent and stored by ordinal: names and order stay. */
    public enum Stage {
        /**
         * Still to be updated, not departed: it has not been restarted yet, or it has returned in another version than
         * the target.
         */
        LEFT,
        /** Its grant is requested; the {@link topazladder.disruption.Disruption} says how far it is. */
        ASKED,
        /** Updated: it runs the target version, and serves as its peers do. */
        MOVED
    }

    RolloutTarget inStage(Stage nextStage, int nextAttempt) {
        return new RolloutTarget(name, zone, isVoter, wave, nextStage, nextAttempt);
    }
}
