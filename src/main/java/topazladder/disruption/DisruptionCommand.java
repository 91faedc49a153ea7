package topazladder.disruption;

import java.util.List;

/** A command of the replicated log about disruptions; one that is applied twice, or late, does no harm. */
public sealed interface DisruptionCommand {

    /** Replaces the budgets by those of the leader's settings. A smaller one revokes no grant: it only allows fewer. */
    record SetBudgets(List<DisruptionBudget> budgets) implements DisruptionCommand {
    }

    /**
     * Makes a target known, and sets its capacity.
     *
     * @param capacityPerSecond payoff that it was measured to serve; 0 for unknown
     */
    record SetCapacity(DisruptionTarget target, double capacityPerSecond) implements DisruptionCommand {
    }

    /** Removes a target that is no longer part of the cluster. */
    record Forget(DisruptionTarget target) implements DisruptionCommand {
    }

    /** Requests a grant. */
    record Request(DisruptionTarget target, Disruption.Reason reason, String requestId, String requestedBy)
            implements
                DisruptionCommand {
    }

    /**
     * Grants the request of a target that waits.
     *
     * @param requestId of the request, so that one made since is not granted
     * @param incarnation of the process that may shut down
     */
    record Grant(DisruptionTarget target, String requestId, long incarnation) implements DisruptionCommand {
    }

    /** Withdraws a request, granted or not, of a target that has not shut down. */
    record Withdraw(DisruptionTarget target, String requestId) implements DisruptionCommand {
    }

    /**
     * The target shuts down.
     *
     * @param token of its grant; 0 where a signal from outside the cluster ends the process
     */
    record Leaving(DisruptionTarget target, long token, long incarnation, String requestedBy)
            implements
                DisruptionCommand {
    }

    /** No member hears from that process. */
    record Lost(DisruptionTarget target, long incarnation) implements DisruptionCommand {
    }

    /** The target is back under that incarnation, and uses its budget until it is steady. */
    record Returning(DisruptionTarget target, long incarnation) implements DisruptionCommand {
    }

    /** The target serves as its peers do. */
    record Steady(DisruptionTarget target) implements DisruptionCommand {
    }

    /** A dependency that is out of use gets a slowly growing share of the calls again. Readable from schema 3 on. */
    record Rejoin(DisruptionTarget target) implements DisruptionCommand {
    }

    /** A dependency that is out of use stays so until an operator's next command. Readable from schema 3 on. */
    record KeepOut(DisruptionTarget target, String requestId, String requestedBy) implements DisruptionCommand {
    }

    /** An operator declares that the target has been replaced, or does not return. */
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
