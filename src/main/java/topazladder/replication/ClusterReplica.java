package topazladder.replication;

import io.microraft.model.message.RaftMessage;
import java.util.Collection;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import topazladder.below.Verdicts;
import topazladder.consensus.ConsensusReplica;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionController;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseSettings;
import topazladder.service.Scheduler;

/**
 * One voter's replica with the domains of the cluster registered. A new domain is registered here, and nowhere else.
 */
public final class ClusterReplica {

    /** Where what is decided goes to; all of it may be lost but the failure. */
    public interface Environment
            extends
                ConsensusReplica.Environment,
                LeaseReplication.Messages,
                DisruptionReplication.Messages {}

    /**
     * What an installation sets for its group.
     *
     * @param voters names of those that should vote; 3, 5 or 7
     * @param heartbeatSeconds between the leader's heartbeats
     * @param leases there are
     * @param budgets of what may be disrupted at once
     */
    public record Settings(Collection<String> voters, double heartbeatSeconds, List<LeaseSettings> leases,
            List<DisruptionBudget> budgets) {
    }

    /**
     * The domains' own objects, which outlive a replica that failed.
     *
     * @param state that is agreed on
     * @param leaseManager decides on leases at the leader
     * @param disruptionController decides on disruptions at the leader
     * @param verdicts decide on ejections at the leader
     */
    public record Domains(ClusterState state, LeaseManager leaseManager, DisruptionController disruptionController,
            Verdicts verdicts) {
    }

    private final ClusterState state;
    private final ConsensusReplica consensus;
    private final LeaseReplication leases;
    private final DisruptionReplication disruptions;
    private final RolloutReplication rollouts;

    /** Makes a replica of what the store has; it does nothing before {@link #start}. */
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
        // Ahead of disruptions: what is withdrawn by it is not granted in the same moment.
        consensus.register(new EjectionReplication(consensus, domains.verdicts(), schemas));
        consensus.register(disruptions);
    }

    /** Begins to take part in elections and in the log. */
    public void start() {
        consensus.start();
    }

    /** Ends the replica in order; the store may be closed once the callback is run. */
    public void close(Runnable done) {
        consensus.close(done);
    }

    /** Takes a message of another voter. */
    public void handle(RaftMessage message) {
        consensus.handle(message);
    }

    /** The settings were read anew; the heartbeat stays as it was. */
    public void replaceSettings(Settings next) {
        leases.replaceSettings(next.leases());
        disruptions.replaceBudgets(next.budgets());
        consensus.settingsChanged(next.voters());
    }

    /** Somebody whose folder was empty asks to be added as a voter. */
    public void joinRequested(VoterEndpoint endpoint) {
        consensus.joinRequested(endpoint);
    }

    /** What is agreed on, as applied here. */
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

    /** Whether this voter leads, and knows all that leaders before it have committed. */
    public boolean leading() {
        return consensus.isLeader();
    }

    /** Who leads as far as is known here; null while nobody does. */
    public VoterEndpoint leader() {
        return consensus.leader();
    }

    /** This voter's identity. */
    public VoterEndpoint here() {
        return consensus.here();
    }

    /** The committed configuration: who votes, ordered by identity. */
    public Collection<VoterEndpoint> voting() {
        return consensus.voting();
    }

    public int term() {
        return consensus.term();
    }

    /** Entries of the log that are committed; 0 before the library has reported. */
    public long commitIndex() {
        return consensus.commitIndex();
    }
}
