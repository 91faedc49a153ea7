package topazladder.disruption;

import java.util.List;

/** A command of the replicated log about disruptions; one that is applied twice, or late, does no harm. */
public sealed interface DisruptionCommand {

    /** Sets the budgets, by the leader's settings. One that is cut takes nothing back: it only grants less. */
    record SetBudgets(List<DisruptionBudget> budgets) implements DisruptionCommand {
    }

    /**
     * Makes a target known, and sets its capacity.
     *
     * @param capacityPerSecond payoff that it was measured to serve; 0 for unknown
     */
    record SetCapacity(DisruptionTarget target, double capacityPerSecond) implements DisruptionCommand {
    }

    /** The target is no part of the cluster any more. */
    record Forget(DisruptionTarget target) implements DisruptionCommand {
    }

    /** Asks for a grant. */
    record Request(DisruptionTarget target, Disruption.Reason reason, String requestId, String requestedBy)
            implements
                DisruptionCommand {
    }

    /**
     * Lets a target go that waits.
     *
     * @param requestId that is granted, so that one made since is not
     * @param incarnation of the process that may go
     */
    record Grant(DisruptionTarget target, String requestId, long incarnation) implements DisruptionCommand {
    }

    /** The target does not want to go any more, or has not gone and stays. */
    record Withdraw(DisruptionTarget target, String requestId) implements DisruptionCommand {
    }

    /**
     * The target goes.
     *
     * @param token of its grant; 0 where somebody else told the process to end
     */
    record Leaving(DisruptionTarget target, long token, long incarnation, String requestedBy)
            implements
                DisruptionCommand {
    }

    /** Nobody hears that process. */
    record Lost(DisruptionTarget target, long incarnation) implements DisruptionCommand {
    }

    /** The target is back under that incarnation, and uses its budget until it is steady. */
    record Returning(DisruptionTarget target, long incarnation) implements DisruptionCommand {
    }

    /** The target serves as its peers do. */
    record Steady(DisruptionTarget target) implements DisruptionCommand {
    }

    /** A dependency that is unavailable is used again, little by little. Readable from schema 3 on. */
    record Rejoin(DisruptionTarget target) implements DisruptionCommand {
    }

    /** A dependency that is unavailable stays so until an operator says otherwise. Readable from schema 3 on. */
    record KeepOut(DisruptionTarget target, String requestId, String requestedBy) implements DisruptionCommand {
    }

    /** An operator says that the target has been replaced, or does not come back. */
    record GiveUp(DisruptionTarget target, String requestedBy) implements DisruptionCommand {
    }

    /**
     * Suspends all grants.
     *
     * @param reason why nothing is granted; null to resume
     */
    record SuspendGrants(String reason) implements DisruptionCommand {
    }
}
