package topazladder.replication;

import java.util.List;
import topazladder.consensus.ReplicatedStateMachine;
import topazladder.consensus.StateMachineRegistry;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseStateMachine;
import topazladder.release.Release;
import topazladder.release.ReleaseLedger;
import topazladder.release.ReleaseOp;

/**
 * The replicated state of all domains, as of the commands applied here: which member holds which lease, what is
 * disrupted, and how far a rollout has progressed.
 */
public record ClusterState(LeaseStateMachine leases, DisruptionStateMachine disruptions, ReleaseLedger rollouts) {

    /** Creates an empty state. */
    public ClusterState() {
        this(new LeaseStateMachine(), new DisruptionStateMachine());
    }

    private ClusterState(LeaseStateMachine leases, DisruptionStateMachine disruptions) {
        this(leases, disruptions, new ReleaseLedger(leases, disruptions));
    }

    /** The state machines of all domains, to be registered with a replica. */
    public StateMachineRegistry stateMachines() {
        return new StateMachineRegistry(List.of(
                new ReplicatedStateMachine<>(ReleaseOp.class, Release.class, rollouts::apply, rollouts::release,
                        rollouts::replace, null),
                new ReplicatedStateMachine<>(DisruptionCommand.class, DisruptionStateMachine.Snapshot.class,
                        disruptions::apply, disruptions::snapshot, disruptions::restore,
                        new DisruptionStateMachine().snapshot()),
                new ReplicatedStateMachine<>(LeaseCommand.class, LeaseStateMachine.Snapshot.class, leases::apply,
                        leases::snapshot, leases::restore, new LeaseStateMachine().snapshot())));
    }
}
