package topazladder.replication;

import java.util.List;
import topazladder.consensus.ReplicatedStateMachine;
import topazladder.consensus.StateMachineRegistry;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseStateMachine;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutStateMachine;

/**
 * The replicated state of all domains, as of the commands applied here: which member holds which lease, what is
 * disrupted, and how far a rollout has progressed.
 */
public record ClusterState(LeaseStateMachine leases, DisruptionStateMachine disruptions, RolloutStateMachine rollouts) {

    /** Creates an empty state. */
    public ClusterState() {
        this(new LeaseStateMachine(), new DisruptionStateMachine());
    }

    private ClusterState(LeaseStateMachine leases, DisruptionStateMachine disruptions) {
        this(leases, disruptions, new RolloutStateMachine(leases, disruptions));
    }

    /** The state machines of all domains, to be registered with a replica. */
    public StateMachineRegistry stateMachines() {
        return new StateMachineRegistry(List.of(
                new ReplicatedStateMachine<>(RolloutCommand.class, Rollout.class, rollouts::apply, rollouts::rollout,
                        rollouts::restore, null),
                new ReplicatedStateMachine<>(DisruptionCommand.class, DisruptionStateMachine.Snapshot.class,
                        disruptions::apply, disruptions::snapshot, disruptions::restore,
                        new DisruptionStateMachine().snapshot()),
                new ReplicatedStateMachine<>(LeaseCommand.class, LeaseStateMachine.Snapshot.class, leases::apply,
                        leases::snapshot, leases::restore, new LeaseStateMachine().snapshot())));
    }
}
