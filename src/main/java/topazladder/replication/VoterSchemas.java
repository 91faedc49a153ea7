package topazladder.replication;

import java.util.Collection;
import topazladder.consensus.ReplicatedLog;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.DisruptionController;

/**
 * Decides which commands may enter the log, by the schema version that each voter reads. A voter that can't read a
 * command of the log makes no progress until it runs a later version, which must never happen to a majority of them.
 */
final class VoterSchemas {
    private final ReplicatedLog log;
    private final DisruptionController controller;

    VoterSchemas(ReplicatedLog log, DisruptionController controller) {
        this.log = log;
        this.controller = controller;
    }

    /** Whether a majority of the voters has reported that it reads this schema version. */
    boolean majorityReads(int schema) {
        Collection<VoterEndpoint> voting = log.voting();
        long readers = voting.stream().filter(voter -> controller.schemaOf(voter.name()) >= schema).count();
        return 2 * readers > voting.size();
    }
}
