package topazladder.replication;

import java.util.Optional;
import topazladder.consensus.TermStart;
import topazladder.lease.LeaseCommand;

/** The start of a leader's term among the commands of leases, where the log has always had it. */
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
