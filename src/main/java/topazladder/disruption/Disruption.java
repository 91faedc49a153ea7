package topazladder.disruption;

/**
 * One target that is unavailable, or waits to be, as the group has agreed; immutable.
 *
 * @param reason why it is unavailable
 * @param phase how far it has come
 * @param requestId by which the requester knows its request again; one that is repeated counts once
 * @param token under which it may be unavailable, and grows with each grant; 0 while it waits
 * @param incarnation of the process that the phase is about; for a dependency, how often it has tried to rejoin
 * @param requestOrder place in the order of requests
 * @param requestedBy who asked, for operators
 */
public record Disruption(DisruptionTarget target, Reason reason, Phase phase, String requestId, long token,
        long incarnation, long requestOrder, String requestedBy) {

    /**
     * Why a target is unavailable. The first three wait for a grant; the others are facts when they are reported.
     * Printed by name, sent and stored by ordinal: names and order stay.
     */
    public enum Reason {
        /** A rollout starts the instance in another version. */
        RELEASE,
        /** An operator drains it. */
        OPERATOR,
        /** A dependency fails its health checks. */
        ILL,
        /** The process was told to end by somebody else, and obeys at once. */
        LEAVING,
        /** Nobody hears it. */
        LOST;

        /** Whether the target is only unavailable once the leader has granted it. */
        public boolean needsGrant() {
            return this == RELEASE || this == OPERATOR || this == ILL;
        }
    }

    /** Printed by name, sent and stored by ordinal: names and order stay. */
    public enum Phase {
        /** It waits for its turn, and uses no budget. */
        ASKED,
        /** It may go, and uses the budget whether it has gone or not. */
        GRANTED,
        /** It has gone. */
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
