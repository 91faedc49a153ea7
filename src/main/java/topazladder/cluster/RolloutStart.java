package topazladder.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.replication.ClusterReplica;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutPlan;
import topazladder.rollout.RolloutStatus;
import topazladder.rollout.RolloutTarget;
import topazladder.rollout.WavePlanner;

/**
 * Decides whether a rollout may start, and which instances it covers, by what the group's leader knows. No I/O; called
 * on the consensus thread of the leader.
 *
 * <p>A rollout covers the members that the leader has heard of when it starts. A member that joins later, or that the
 * leader hears of later, is added by the rollout controller ({@link RolloutCommand.AddTarget}) while the rollout runs.
 */
public final class RolloutStart {
    /** The message schema that introduced rollouts. */
    private static final int ROLLOUT_SCHEMA = 2;
    private static final String CONTROLLER_LEASE = "release";

    private final ClusterReplica replica;
    private final RolloutPlan plan;

    private RolloutStart(ClusterReplica replica, RolloutPlan plan) {
        this.replica = replica;
        this.plan = plan;
    }

    /**
     * Whether the rollout starts.
     *
     * @param operation to be proposed, or null where the start is refused
     * @param refusal the reason, for the operator, or null where the start is not refused
     */
    public record Decision(RolloutCommand.Start operation, String refusal) {

        public boolean isRefused() {
            return refusal != null;
        }
    }

    /** Decides on an operator's command to start a rollout by that plan. */
    public static Decision decide(ClusterReplica replica, RolloutPlan plan, RolloutCommand.Proposer by) {
        return new RolloutStart(replica, plan).decide(by);
    }

    private Decision decide(RolloutCommand.Proposer by) {
        if (!replica.rollouts().isSettled()) {
            return new Decision(null, "the leader " + replica.localEndpoint().name()
                    + " has not led for long enough to have heard of every member; try again soon");
        }
        RolloutStatus view = replica.rollouts().status();
        String refusal = refusal(view);
        if (refusal != null) {
            return new Decision(null, refusal);
        }
        Set<String> voters = replica.committedVoters().stream().map(VoterEndpoint::name).collect(Collectors.toSet());
        List<RolloutTarget> places = new ArrayList<>();
        for (RolloutStatus.InstanceStatus member : view.members()) {
            places.add(new RolloutTarget(member.name(), member.zone(), voters.contains(member.name()), 0,
                    RolloutTarget.Stage.LEFT, 0));
        }
        return new Decision(new RolloutCommand.Start(by, plan, WavePlanner.assign(plan, places, controllerHolder())),
                null);
    }

    /** Refuses at the start what would halt the rollout halfway; null for nothing. */
    private String refusal(RolloutStatus view) {
        List<String> outdated = replica.committedVoters().stream().map(VoterEndpoint::name)
                .filter(name -> replica.disruptions().controller().schemaOf(name) < ROLLOUT_SCHEMA).toList();
        if (2 * outdated.size() >= replica.committedVoters().size()) {
            return "the voters " + outdated + " do not read message schema " + ROLLOUT_SCHEMA
                    + ", which rollouts need; a majority of the voters has to run a version that does";
        }
        if (replica.state().leases().leases().stream().noneMatch(d -> d.settings().name().equals(CONTROLLER_LEASE))) {
            // The settings keep older words: there a duty is a lease, and a release is a rollout.
            return "hall.duties has no duty named " + CONTROLLER_LEASE + ", which runs the rollout controller";
        }
        return view.members().stream().map(this::refusalBy).filter(why -> why != null).findFirst().orElse(null);
    }

    private String refusalBy(RolloutStatus.InstanceStatus member) {
        if (member.health() == DisruptionController.Health.GONE) {
            return "member " + member.name() + " is gone; start it, or give it up first";
        }
        String runs = member.load() == null ? "" : member.load().version();
        if (!runs.equals(plan.from()) && !runs.equals(plan.to())) {
            return "member " + member.name() + " runs version '" + runs + "'; the plan needs '" + plan.from()
                    + "' or '" + plan.to() + "'";
        }
        DisruptionTarget target = new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, member.name(), member.zone());
        List<DisruptionBudget> covering =
                replica.state().disruptions().budgets().stream().filter(b -> b.covers(target)).toList();
        boolean mayShutDown = !covering.isEmpty() && covering.stream().noneMatch(b -> b.maxUnavailable() == 0);
        return mayShutDown ? null : "no disruption budget permits member " + member.name()
                + " to shut down; hall.budgets needs one that covers it, and none with most 0";
    }

    /** Name of the member that runs the rollout controller, or empty. */
    private String controllerHolder() {
        return replica.state().leases().leases().stream()
                .filter(d -> d.isHeld() && d.settings().name().equals(CONTROLLER_LEASE))
                .map(d -> d.holder().name()).findFirst().orElse("");
    }
}
