package topazladder.disruption;

/**
 * The replicated state of one target that is unavailable, or that waits for a grant to be; immutable.
 *
 * @param reason why it is unavailable
 * @param phase how far the disruption is
 * @param requestId chosen by the requester; a request that is repeated under the same id counts once
 * @param token of the grant, larger than that of all earlier ones; 0 while it waits
 * @param incarnation of the process that the phase is about; for a dependency, how often it has tried to rejoin
 * @param requestOrder position among the requests, by which grants are given
 * @param requestedBy who asked, for operators
 */
public record Disruption(DisruptionTarget target, Reason reason, Phase phase, String requestId, long token,
        long incarnation, long requestOrder, String requestedBy) {

    /**
     * Why a target is unavailable. The first three wait for a grant; the others are facts when they are reported.
     * Printed by name, sent and stored by ordinal: names and order stay.
     */
    public enum Reason {
        /** A rollout restarts the instance in another version. */
        RELEASE,
        /** An operator drains it. */
        OPERATOR,
        /** A dependency fails its health checks. */
        ILL,
        /** A signal from outside the cluster ends the process, which does not wait for a grant. */
        LEAVING,
        /** No member hears from it. */
        LOST;

        /** Whether the target is only unavailable once the leader has granted it. */
        public boolean needsGrant() {
            return this == RELEASE || this == OPERATOR || this == ILL;
        }
    }

    /** Printed by name, sent and stored by ordinal: names and order stay. */
    public enum Phase {
        /** It waits for a grant, and uses no budget. */
        ASKED,
        /** It may become unavailable, and uses the budget whether it is or not. */
        GRANTED,
        /** It has shut down, or is out of use. */
        GONE,
        /** It is back and not steady yet. */
        RETURNING
    }

    /** Whether it counts against the budgets that cover it. */
    public boolean usesBudget() {
        return phase != Phase.ASKED;
    }

    Disruption inPhase(Phase next, long nextIncarnation) {
        return new Disruption(target, reason, next, requestId, token, nextIncarnation, requestOrder, requestedBy);
    }

    Disruption granted(long newToken, long grantedIncarnation) {
        return new Disruption(target, reason, Phase.GRANTED, requestId, newToken, grantedIncarnation, requestOrder,
                requestedBy);
    }
}
