package topazladder.disruption;

import java.util.List;

/** What the hall agrees on about outs, one after another; each may come twice, or late, without harm. */
public sealed interface DisruptionCommand {

    /** The budgets by the settings of whoever leads. A budget that is cut takes nothing back: it only grants less. */
    record Budgets(List<DisruptionBudget> budgets) implements DisruptionCommand {
    }

    /** What a subject can do, as measured; 0 for unknown. It is there from then on. */
    record Known(DisruptionTarget subject, double capacity) implements DisruptionCommand {
    }

    /** It is no part of the hall any more. */
    record Forgotten(DisruptionTarget subject) implements DisruptionCommand {
    }

    record Ask(DisruptionTarget subject, Disruption.Why why, String request, String by) implements DisruptionCommand {
    }

    /**
     * @param request that is granted, so that one asked since is not
     * @param life of the process that may go
     */
    record Grant(DisruptionTarget subject, String request, long life) implements DisruptionCommand {
    }

    /** It does not want to go any more, or has not gone and stays. */
    record Withdraw(DisruptionTarget subject, String request) implements DisruptionCommand {
    }

    /** It goes: under its token by permission, or under 0 because somebody else told it to. */
    record Leaves(DisruptionTarget subject, long token, long life, String by) implements DisruptionCommand {
    }

    /** Nobody hears that process. */
    record Lost(DisruptionTarget subject, long life) implements DisruptionCommand {
    }

    /** It is back under that life, and takes its place until it is steady. */
    record Returns(DisruptionTarget subject, long life) implements DisruptionCommand {
    }

    /** It serves as its peers do. */
    record Steady(DisruptionTarget subject) implements DisruptionCommand {
    }

    /** A service below that is out is used again, little by little. Readable from schema 3 on. */
    record Rejoins(DisruptionTarget subject) implements DisruptionCommand {
    }

    /** A service below that is out for whatever reason stays out until an operator says otherwise. From schema 3 on. */
    record Keeps(DisruptionTarget subject, String request, String by) implements DisruptionCommand {
    }

    /** An operator says that its place is filled, or that it is not coming back. */
    record GivenUp(DisruptionTarget subject, String by) implements DisruptionCommand {
    }

    /** Nothing more is granted, for that reason; null to go on. */
    record Halt(String why) implements DisruptionCommand {
    }
}
