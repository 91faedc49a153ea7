package topazladder.release;

import java.util.List;

/**
 * A command of the replicated log about rollouts. Each names the rollout, direction and step that it is about, so that
 * one that is applied twice, or comes from an earlier holder of the rollout lease, changes nothing.
 */
public sealed interface ReleaseOp {

    /**
     * Who proposes a command.
     *
     * @param duty name of the rollout lease that the proposer holds; empty for an operator
     * @param token its fencing token; 0 for an operator
     * @param atMillis time of day at the proposer; nothing is decided by it
     */
    record By(String duty, long token, long atMillis) {

        /** An operator, who needs no lease. */
        public static By operator(long atMillis) {
            return new By("", 0, atMillis);
        }

        /** Whether the proposer acts as holder of the rollout lease, which is then checked. */
        public boolean conducts() {
            return token > 0;
        }
    }

    By by();

    /** Starts a rollout. */
    record Start(By by, Plan plan, List<Place> places) implements ReleaseOp {
    }

    /** Requests the grant to update an instance; {@code attempt} follows its last one. */
    record Ask(By by, long id, int started, String place, int attempt) implements ReleaseOp {
    }

    /** The instance is back in another version than the target, so that it may be requested again. */
    record Missed(By by, long id, int started, String place) implements ReleaseOp {
    }

    /** The instance runs the target version and is steady. */
    record Moved(By by, long id, int started, String place) implements ReleaseOp {
    }

    /** Starts the next wave, as the analysis of the one before has passed. */
    record Next(By by, long id, int started, int wave) implements ReleaseOp {
    }

    /**
     * Adds an instance that was not known when the rollout started to its last wave. Readable from schema 4 on.
     *
     * @param votes whether it is a voter; the leader fills this in before the command is proposed
     */
    record AddPlace(By by, long id, int started, String place, String zone, boolean votes) implements ReleaseOp {

        public AddPlace withVotes(boolean isVoter) {
            return new AddPlace(by, id, started, place, zone, isVoter);
        }
    }

    /** Ends the rollout: all instances are updated and the analysis has passed. */
    record Done(By by, long id, int started) implements ReleaseOp {
    }

    /** Stops the rollout where it is, until it is resumed or rolled back. */
    record Halt(By by, long id, String why) implements ReleaseOp {
    }

    /** Resumes a rollout that is halted. */
    record Resume(By by, long id) implements ReleaseOp {
    }

    /** Turns the rollout into a rollback, towards version A. */
    record Back(By by, long id) implements ReleaseOp {
    }
}
