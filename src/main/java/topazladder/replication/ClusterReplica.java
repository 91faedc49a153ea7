package topazladder.replication;

import io.microraft.model.message.RaftMessage;
import java.util.Collection;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import topazladder.consensus.ConsensusReplica;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionController;
import topazladder.endpoint.OutlierDetector;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseSettings;
import topazladder.service.Scheduler;

/**
 * One voter's replica of the consensus group, with the state machines and leader services of every domain registered. A
 * new domain is registered here, and nowhere else.
 */
public final class ClusterReplica {

    /** Receives the messages that the replica sends, any of which may be lost, and the report of its failure. */
    public interface Environment
            extends
                ConsensusReplica.Environment,
                LeaseReplication.Messages,
                DisruptionReplication.Messages {}

    /**
     * The configuration of the consensus group.
     *
     * @param voters names of the members that should vote; 3, 5 or 7
     * @param heartbeatSeconds interval of the leader's heartbeats
     * @param leases the leases to define
     * @param budgets limits on how much may be disrupted at a time
     */
    public record Settings(Collection<String> voters, double heartbeatSeconds, List<LeaseSettings> leases,
            List<DisruptionBudget> budgets) {
    }

    /**
     * The domains' objects, which are reused when a failed replica is replaced.
     *
     * @param state the replicated state
     * @param leaseManager decides on leases at the leader
     * @param disruptionController decides on disruptions at the leader
     * @param outlierDetector decides on ejections at the leader
     */
    public record Domains(ClusterState state, LeaseManager leaseManager, DisruptionController disruptionController,
            OutlierDetector outlierDetector) {
    }

    private final ClusterState state;
    private final ConsensusReplica consensus;
    private final LeaseReplication leases;
    private final DisruptionReplication disruptions;
    private final RolloutReplication rollouts;

    /** Creates a replica from the contents of the store. It is inactive until {@link #start}. */
    public ClusterReplica(VoterStore store, Settings settings, Scheduler timers, DoubleSupplier clock,
            RandomGenerator random, Environment environment, Domains domains) {
        state = domains.state();
        consensus = new ConsensusReplica(store, settings.voters(), settings.heartbeatSeconds(), timers, clock, random,
                environment, state.stateMachines(), new LeaseTermStart());
        LeaseManager leaseManager = domains.leaseManager();
        VoterSchemas schemas = new VoterSchemas(consensus, domains.disruptionController());
        leases = new LeaseReplication(consensus, leaseManager, environment, settings.leases());
        disruptions = new DisruptionReplication(consensus, state, domains.disruptionController(), settings,
                leaseManager::setFastPolling, environment);
        rollouts = new RolloutReplication(consensus, state, disruptions, schemas);
        consensus.register(leases);
        // Registered before disruptions, as services run in this order: what an ejection command withdraws must not be
        // granted in the same tick.
        consensus.register(new EjectionReplication(consensus, domains.outlierDetector(), schemas));
        consensus.register(disruptions);
    }

    /** Starts to take part in elections and in log replication. */
    public void start() {
        consensus.start();
    }

    /** Shuts the replica down; the store may be closed once the callback has run. */
    public void close(Runnable done) {
        consensus.close(done);
    }

    /** Handles a message from another voter. */
    public void handle(RaftMessage message) {
        consensus.handle(message);
    }

    /** Applies reloaded settings, except for the heartbeat interval, which stays. */
    public void replaceSettings(Settings next) {
        leases.replaceSettings(next.leases());
        disruptions.replaceBudgets(next.budgets());
        consensus.settingsChanged(next.voters());
    }

    /** Handles the request of a member whose folder was empty to be added as a voter. */
    public void joinRequested(VoterEndpoint endpoint) {
        consensus.joinRequested(endpoint);
    }

    /** The replicated state, as of the commands applied here. */
    public ClusterState state() {
        return state;
    }

    public LeaseReplication leases() {
        return leases;
    }

    public DisruptionReplication disruptions() {
        return disruptions;
    }

    public RolloutReplication rollouts() {
        return rollouts;
    }

    /** Whether this voter leads and has applied every command that earlier leaders committed. */
    public boolean isLeader() {
        return consensus.isLeader();
    }

    /** The leader as far as this voter knows; null while none is known. */
    public VoterEndpoint leader() {
        return consensus.leader();
    }

    /** The identity of this voter. */
    public VoterEndpoint localEndpoint() {
        return consensus.localEndpoint();
    }

    /** The voters of the committed configuration, ordered by identity. */
    public Collection<VoterEndpoint> committedVoters() {
        return consensus.voting();
    }

    public int term() {
        return consensus.term();
    }

    /** Index of the last committed log entry; 0 until the consensus library has reported one. */
    public long commitIndex() {
        return consensus.commitIndex();
    }
}
