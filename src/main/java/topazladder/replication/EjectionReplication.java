package topazladder.replication;

import topazladder.consensus.LeaderService;
import topazladder.consensus.ReplicatedLog;
import topazladder.endpoint.OutlierDetector;

/**
 * Ejection of dependency endpoints at the leader: proposes the commands that {@link OutlierDetector} decides on
 * from the call outcomes that members report.
 */
final class EjectionReplication implements LeaderService {
    /** The first schema version in which a voter can read commands about dependency endpoints. */
    private static final int EJECTION_SCHEMA = 3;

    private final ReplicatedLog log;
    private final OutlierDetector outlierDetector;
    private final VoterSchemas schemas;

    EjectionReplication(ReplicatedLog log, OutlierDetector outlierDetector, VoterSchemas schemas) {
        this.log = log;
        this.outlierDetector = outlierDetector;
        this.schemas = schemas;
    }

    @Override
    public void becomeLeader(double now) {
        outlierDetector.becomeLeader(now);
    }

    @Override
    public void stepDown() {
        outlierDetector.stepDown();
    }

    @Override
    public void tick(double now) {
        if (schemas.majorityReads(EJECTION_SCHEMA)) {
            outlierDetector.tick(now).forEach(command -> log.propose(command, outlierDetector::commandCompleted));
        }
    }
}
