package topazladder.rollout;

import java.util.List;

/**
 * A command of the replicated log about rollouts. Each names the rollout, direction and step that it is about, so that
 * one that is applied twice, or comes from an earlier holder of the rollout lease, changes nothing.
 */
public sealed interface RolloutCommand {

    /**
     * Who proposes a command.
     *
     * @param leaseName name of the rollout lease that the proposer holds; empty for an operator
     * @param fencingToken its fencing token; 0 for an operator
     * @param atMillis time of day at the proposer; nothing is decided by it
     */
    record Proposer(String leaseName, long fencingToken, long atMillis) {

        /** An operator, who needs no lease. */
        public static Proposer operator(long atMillis) {
            return new Proposer("", 0, atMillis);
        }

        /** Whether the proposer acts as holder of the rollout lease, which is then checked. */
        public boolean isLeaseHolder() {
            return fencingToken > 0;
        }
    }

    Proposer proposer();

    /** Starts a rollout. */
    record Start(Proposer proposer, RolloutPlan plan, List<RolloutTarget> targets) implements RolloutCommand {
    }

    /** Requests the grant to update an instance; {@code attempt} follows its last one. */
    record RequestGrant(Proposer proposer, long rolloutId, int generation, String instance,
            int attempt) implements RolloutCommand {
    }

    /** The instance is back in another version than the target, so that it may be requested again. */
    record RecordFailedUpdate(Proposer proposer, long rolloutId, int generation,
            String instance) implements RolloutCommand {
    }

    /** The instance runs the target version and is steady. */
    record RecordUpdate(Proposer proposer, long rolloutId, int generation, String instance) implements RolloutCommand {
    }

    /**
     * Starts the next wave: the analysis of the one before has passed, had nothing to compare, or was not needed, as
     * the soak time is 0 or this is a rollback.
     */
    record StartWave(Proposer proposer, long rolloutId, int generation, int wave) implements RolloutCommand {
    }

    /**
     * Adds an instance that was not known when the rollout started to its last wave. Readable from schema 4 on.
     *
     * @param isVoter whether it is a voter; the leader fills this in before the command is proposed
     */
    record AddTarget(Proposer proposer, long rolloutId, int generation, String instance, String zone,
            boolean isVoter) implements RolloutCommand {

        public AddTarget withVoter(boolean isVoter) {
            return new AddTarget(proposer, rolloutId, generation, instance, zone, isVoter);
        }
    }

    /**
     * Ends the rollout: all instances are updated. The last wave has no soak, so the analysis need not have passed, as
     * long as it has not failed.
     */
    record Complete(Proposer proposer, long rolloutId, int generation) implements RolloutCommand {
    }

    /** Stops the rollout where it is, until it is resumed or rolled back. */
    record Halt(Proposer proposer, long rolloutId, String reason) implements RolloutCommand {
    }

    /** Resumes a rollout that is halted. */
    record Resume(Proposer proposer, long rolloutId) implements RolloutCommand {
    }

    /** Turns the rollout into a rollback, towards version A. */
    record RollBack(Proposer proposer, long rolloutId) implements RolloutCommand {
    }
}
