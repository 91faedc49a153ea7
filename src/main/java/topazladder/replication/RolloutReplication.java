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
import topazladder.release.ReleaseLedger;
import topazladder.release.ReleaseOp;
import topazladder.release.View;

/** Rollouts at the leader: what a rollout's conductor and operators see, and what they propose. */
public final class RolloutReplication {
    /** The schema from which on a voter can read that a rollout takes in one more instance. */
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

    /** All that a conductor goes by. */
    public View view() {
        DisruptionController controller = disruptions.controller();
        Map<DisruptionTarget, String> blocked = controller.blockedReasons();
        List<View.Sight> members = new ArrayList<>();
        disruptions.membersSeen().forEach((instance, look) -> members.add(new View.Sight(instance.name(),
                instance.zone(), look.health(), look.incarnation(), state.disruptions().get(instance),
                blocked.get(instance),
                controller.loadReport(instance, look.incarnation()))));
        return new View(state.rollouts().release(), List.copyOf(members), replica.here().name(),
                schemas.majorityReads(ADDITIONS_SCHEMA));
    }

    /** Whether this voter has led for long enough to have heard of every member. */
    public boolean isSettled() {
        return replica.isLeader() && disruptions.controller().isSettled(replica.now());
    }

    /** Proposes a conductor's commands, in its order; then it is shown what came of them. */
    public void conduct(List<ReleaseOp> commands, Consumer<View> then) {
        CompletableFuture<?>[] outcomes = commands.stream().map(this::completed).filter(Objects::nonNull)
                .map(replica::replicate).toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(outcomes).whenComplete((done, failure) -> {
            if (failure != null) {
                replica.replicationFailed(failure); // the conductor asks again, whoever leads by then
            } else {
                then.accept(view());
            }
        });
    }

    /** With what only the leader knows; null for one that most voters could not read. */
    private ReleaseOp completed(ReleaseOp command) {
        if (!(command instanceof ReleaseOp.AddPlace addition)) {
            return command;
        }
        boolean votes = replica.voting().stream().anyMatch(voter -> voter.name().equals(addition.place()));
        return schemas.majorityReads(ADDITIONS_SCHEMA) ? addition.withVotes(votes) : null;
    }

    /** Proposes an operator's command; tells its outcome, or that nobody knows it. */
    public void propose(ReleaseOp command, Consumer<ReleaseLedger.Outcome> then) {
        replica.<ReleaseLedger.Outcome>replicate(command).whenComplete((outcome, failure) -> then.accept(
                failure == null ? outcome
                        : new ReleaseLedger.Outcome(0, ProposalFailures.indeterminate(failure))));
    }
}
