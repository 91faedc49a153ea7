package topazladder.replication;

import java.util.Optional;
import topazladder.consensus.TermStart;
import topazladder.lease.LeaseCommand;

/** Encodes the start of a leader's term as a lease command, which is its form in logs stored by earlier versions. */
final class LeaseTermStart implements TermStart.Codec {

    @Override
    public Object toCommand(TermStart start) {
        return new LeaseCommand.BeginLeadership(start.leader(), start.nonce());
    }

    @Override
    public Optional<TermStart> fromCommand(Object command) {
        return command instanceof LeaseCommand.BeginLeadership begin
                ? Optional.of(new TermStart(begin.leader(), begin.nonce()))
                : Optional.empty();
    }
}
