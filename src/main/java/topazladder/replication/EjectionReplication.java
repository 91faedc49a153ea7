package topazladder.replication;

import topazladder.below.Verdicts;
import topazladder.consensus.LeaderService;
import topazladder.consensus.ReplicatedLog;

/**
 * Ejection of servers of the dependency at the leader: proposes what {@link Verdicts} makes of all members' reports.
 */
final class EjectionReplication implements LeaderService {
    /** The schema from which on a voter can read commands about servers of the dependency. */
    private static final int EJECTION_SCHEMA = 3;

    private final ReplicatedLog log;
    private final Verdicts verdicts;
    private final VoterSchemas schemas;

    EjectionReplication(ReplicatedLog log, Verdicts verdicts, VoterSchemas schemas) {
        this.log = log;
        this.verdicts = verdicts;
        this.schemas = schemas;
    }

    @Override
    public void becomeLeader(double now) {
        verdicts.lead(now);
    }

    @Override
    public void stepDown() {
        verdicts.resign();
    }

    @Override
    public void tick(double now) {
        if (schemas.majorityReads(EJECTION_SCHEMA)) {
            verdicts.tick(now).forEach(command -> log.propose(command, verdicts::over));
        }
    }
}
