package topazladder.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import topazladder.consensus.ConsensusReplica;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutStateMachine;
import topazladder.rollout.RolloutStatus;

/** Rollouts at the leader: the status for the rollout controller and operators, and the commands that they propose. */
public final class RolloutReplication {
    /** The first schema version in which a voter can read the command that adds an instance to a rollout. */
    private static final int ADDITIONS_SCHEMA = 4;

    private final ConsensusReplica replica;
    private final ClusterState state;
    private final DisruptionReplication disruptions;
    private final VoterSchemas schemas;

    RolloutReplication(ConsensusReplica replica, ClusterState state, DisruptionReplication disruptions,
            VoterSchemas schemas) {
        this.replica = replica;
        this.state = state;
        this.disruptions = disruptions;
        this.schemas = schemas;
    }

    /** The status from which the rollout controller decides its next steps. */
    public RolloutStatus status() {
        DisruptionController controller = disruptions.controller();
        Map<DisruptionTarget, String> blocked = controller.blockedReasons();
        List<RolloutStatus.InstanceStatus> members = new ArrayList<>();
        disruptions.observations()
                .forEach((instance, observation) -> members.add(new RolloutStatus.InstanceStatus(instance.name(),
                        instance.zone(), observation.health(), observation.incarnation(),
                        state.disruptions().get(instance),
                        blocked.get(instance),
                        controller.loadReport(instance, observation.incarnation()))));
        return new RolloutStatus(state.rollouts().rollout(), List.copyOf(members), replica.localEndpoint().name(),
                schemas.majorityReads(ADDITIONS_SCHEMA));
    }

    /** Whether this voter has led for long enough to have observed every member. */
    public boolean isSettled() {
        return replica.isLeader() && disruptions.controller().isSettled(replica.now());
    }

    /** Proposes the rollout controller's commands in order, and reports the status once all of them are committed. */
    public void proposeAll(List<RolloutCommand> commands, Consumer<RolloutStatus> then) {
        CompletableFuture<?>[] outcomes = commands.stream().map(this::withLeaderKnowledge).filter(Objects::nonNull)
                .map(replica::replicate).toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(outcomes).whenComplete((done, failure) -> {
            if (failure != null) {
                // The rollout controller repeats its commands, whichever voter leads by then.
                replica.replicationFailed(failure);
            } else {
                then.accept(status());
            }
        });
    }

    /** Adds what only the leader knows to a command; null if a majority of the voters could not read it. */
    private RolloutCommand withLeaderKnowledge(RolloutCommand command) {
        if (!(command instanceof RolloutCommand.AddTarget addition)) {
            return command;
        }
        boolean votes = replica.voting().stream().anyMatch(voter -> voter.name().equals(addition.instance()));
        return schemas.majorityReads(ADDITIONS_SCHEMA) ? addition.withVoter(votes) : null;
    }

    /** Proposes an operator's command, and reports its outcome, or that the outcome is unknown. */
    public void propose(RolloutCommand command, Consumer<RolloutStateMachine.Outcome> then) {
        replica.<RolloutStateMachine.Outcome>replicate(command).whenComplete((outcome, failure) -> then.accept(
                failure == null ? outcome
                        : new RolloutStateMachine.Outcome(0, ProposalFailures.indeterminate(failure))));
    }
}
