package topazladder.consensus;

import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseStateMachine;
import topazladder.release.Release;
import topazladder.release.ReleaseLedger;
import topazladder.release.ReleaseOp;

/** All that the group agrees on: who holds which duty, who is out, and how far a release is. */
public record ReplicatedState(LeaseStateMachine duties, DisruptionStateMachine outs, ReleaseLedger releases) {

    public ReplicatedState() {
        this(new LeaseStateMachine(), new DisruptionStateMachine());
    }

    public ReplicatedState(LeaseStateMachine duties, DisruptionStateMachine outs) {
        this(duties, outs, new ReleaseLedger(duties, outs));
    }

    /** All of it, to begin another with; there may have been no release. */
    public record Copy(LeaseStateMachine.Snapshot duties, DisruptionStateMachine.Snapshot outs, Release release) {
    }

    /** @return the outcome of the ledger that the operation is about */
    Object apply(Object operation) {
        return operation instanceof ReleaseOp r ? releases.apply(r)
                : operation instanceof DisruptionCommand o ? outs.apply(o) : duties.apply((LeaseCommand) operation);
    }

    public Copy copy() {
        return new Copy(duties.snapshot(), outs.snapshot(), releases.release());
    }

    public void replace(Copy other) {
        duties.restore(other.duties());
        outs.restore(other.outs());
        releases.replace(other.release());
    }

    /** As before anything was agreed. */
    public void clear() {
        replace(new ReplicatedState().copy());
    }
}
