package topazladder.cluster;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.endpoint.OutlierDetector;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseResponse;
import topazladder.lease.LeaseStateMachine.Outcome;
import topazladder.lease.MemberIdentity;
import topazladder.replication.ClusterReplica;
import topazladder.replication.ClusterState;
import topazladder.service.Scheduler;

/**
 * A member's replica in the consensus group, without I/O but for its store. A voter whose store is empty does not vote,
 * since it has forgotten how it voted before: it asks the group to be added, under a new folder id. All calls come on
 * the one thread that the timers run on.
 */
public final class VoterNode {
    private static final Logger LOG = LoggerFactory.getLogger(VoterNode.class);
    private static final double JOIN_REQUEST_INTERVAL_SECONDS = 1;
    /** Heartbeats for which an instance must be gone before it is recorded as lost. */
    private static final double LOST_AFTER_HEARTBEATS = 4;
    /** Delay before a failed replica is opened again: a disk that was full may have space by then. */
    private static final double REOPEN_DELAY_SECONDS = 2;

    /** How far the voter takes part in the group. Reported by name: the names stay. */
    public enum Phase {
        /** Its store is empty, and it asks the other voters to be added. */
        ASKING_TO_VOTE,
        /** It has a replica, and votes. */
        SEATED,
        /** Its store or its replica failed, and is opened again after a delay. */
        FAILED,
        /** The settings do not name it as a voter any more. */
        RETIRED,
        /** The process is ending. */
        CLOSED
    }

    /** What the node needs of its environment. */
    public interface Environment {

        /** Sends a message to a member by name, maybe the one of its own process. */
        void sendMessage(String to, ClusterMessage what);

        /** The store or the replica failed. The instance goes on serving without it. */
        void failed(Throwable cause);
    }

    private final MemberSettings settings;
    private final VoterStore store;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final RandomGenerator random;
    private final Environment environment;
    private final ClusterReplica.Domains domains;
    private final OutlierDetector verdicts;
    private ClusterReplica.Settings replicaSettings;
    private ClusterReplica replica;
    private VoterEndpoint newEndpoint; // null unless the store was empty
    private Phase phase = Phase.ASKING_TO_VOTE;
    private String controllerActivity = "";

    /** Creates a voter that does nothing before {@link #open}. */
    public VoterNode(MemberSettings settings, VoterStore store, Scheduler timers, DoubleSupplier clock,
            RandomGenerator random, Environment environment) {
        this(settings, store, timers, clock, random, environment, new ClusterState(), null, null, null);
    }

    /**
     * Creates a voter whose replicated state and decisions are given; tests pass some with an injected defect.
     *
     * @param leaseManager null for a {@link LeaseManager} of the leases in the state
     * @param disruptionController null for a {@link DisruptionController} of the disruptions in the state, which
     *     records an instance as lost after {@code LOST_AFTER_HEARTBEATS} heartbeats
     * @param verdicts null for an {@link OutlierDetector} of the disruptions in the state
     */
    public VoterNode(MemberSettings settings, VoterStore store, Scheduler timers, DoubleSupplier clock,
            RandomGenerator random, Environment environment, ClusterState state, LeaseManager leaseManager,
            DisruptionController disruptionController, OutlierDetector verdicts) {
        this.settings = settings;
        this.store = store;
        this.timers = timers;
        this.clock = clock;
        this.random = random;
        this.environment = environment;
        this.verdicts = verdicts == null ? new OutlierDetector(state.disruptions()) : verdicts;
        domains = new ClusterReplica.Domains(state,
                leaseManager == null ? new LeaseManager(state.leases()) : leaseManager,
                disruptionController == null
                        ? new DisruptionController(state.disruptions(),
                                LOST_AFTER_HEARTBEATS * settings.heartbeatSeconds())
                        : disruptionController,
                this.verdicts);
        replicaSettings = new ClusterReplica.Settings(settings.voters(), settings.heartbeatSeconds(), settings.leases(),
                settings.budgets());
    }

    public Phase phase() {
        return phase;
    }

    /** Null before the voter was first {@link Phase#SEATED}. */
    public ClusterReplica replica() {
        return replica;
    }

    /** Starts the replica from the store, or asks to be added where the store is empty. */
    public void open() {
        if (store.identity() != null) {
            startReplica();
        } else {
            newEndpoint = new VoterEndpoint(settings.name(), 1 + (random.nextLong() >>> 2));
            LOG.warn("voter store empty, requesting to join name={} endpoint={}", settings.name(), newEndpoint);
            requestToJoin();
        }
    }

    private void requestToJoin() {
        if (phase == Phase.ASKING_TO_VOTE) {
            settings.voters().stream().filter(v -> !v.equals(settings.name()))
                    .forEach(v -> environment.sendMessage(v, new ClusterMessage.JoinRequest(newEndpoint)));
            timers.schedule(JOIN_REQUEST_INTERVAL_SECONDS, this::requestToJoin);
        }
    }

    private void startReplica() {
        phase = Phase.SEATED;
        if (replica != null) {
            replica.close(() -> {});
        }
        replica = new ClusterReplica(store, replicaSettings, timers, clock, random,
                new ClusterReplica.Environment() {
                    @Override
                    public void send(VoterEndpoint to, RaftMessage message) {
                        environment.sendMessage(to.name(), new ClusterMessage.Consensus(message));
                    }

                    @Override
                    public void reply(MemberIdentity to, LeaseResponse response) {
                        environment.sendMessage(to.name(), new ClusterMessage.LeasePollResponse(response));
                        if (verdicts.hasReported(to.name())) {
                            environment.sendMessage(to.name(),
                                    new ClusterMessage.DependencyDecisions(replica.term(),
                                            verdicts.directives(clock.getAsDouble(), to.name())));
                        }
                    }

                    @Override
                    public void wakeUp(MemberIdentity to) {
                        environment.sendMessage(to.name(), new ClusterMessage.WakeUp());
                    }

                    @Override
                    public void grantShutdown(String member, long token) {
                        environment.sendMessage(member, new ClusterMessage.ShutdownPermission(token));
                    }

                    @Override
                    public void shutDown(String member, long token, String version) {
                        environment.sendMessage(member, new ClusterMessage.ShutdownApproval(token, version));
                    }

                    @Override
                    public void failed(Throwable cause) {
                        VoterNode.this.failed(cause);
                    }
                }, domains);
        replica.start();
    }

    /**
     * Opens the replica again after a delay. What was flushed is still valid, as nothing was acknowledged before it was
     * flushed, so the new replica may start from it.
     */
    private void failed(Throwable cause) {
        if (!replicaSettings.voters().contains(settings.name())) {
            // The Raft library terminates a node that is removed from the group, as the settings asked for.
            phase = Phase.RETIRED;
            LOG.info("voter retired name={} reason=not-in-settings", settings.name());
            return;
        }
        phase = Phase.FAILED;
        environment.failed(cause);
        timers.schedule(REOPEN_DELAY_SECONDS, () -> {
            if (phase == Phase.FAILED) {
                domains.state().stateMachines().clear();
                phase = Phase.ASKING_TO_VOTE;
                open();
            }
        });
    }

    /**
     * Takes the voters, leases and budgets of settings that were read anew. The heartbeat stays that of the start: a
     * change of it needs a restart.
     */
    public void replaceSettings(MemberSettings newSettings) {
        replicaSettings =
                new ClusterReplica.Settings(newSettings.voters(), settings.heartbeatSeconds(), newSettings.leases(),
                        newSettings.budgets());
        if (replica != null) {
            replica.replaceSettings(replicaSettings);
        }
    }

    /** Ends the replica in order, then closes the store. */
    public void close(Runnable onClosed) {
        Phase before = phase;
        phase = Phase.CLOSED;
        Runnable end = () -> {
            store.close();
            onClosed.run();
        };
        if (before == Phase.SEATED) {
            replica.close(end);
        } else {
            end.run();
        }
    }

    /** Handles a message of another member, or of this process's own. */
    public void handle(String from, ClusterMessage message) {
        if (message instanceof ClusterMessage.JoinConfirmation t) {
            addedToGroup(t);
        } else if (phase != Phase.SEATED) {
            return; // without a response the sender tries another voter
        } else if (message instanceof ClusterMessage.Consensus c) {
            replica.handle(c.message());
        } else if (message instanceof ClusterMessage.LeasePoll a) {
            if (replica.isLeader()) {
                replica.disruptions().loadReported(a.request().member(), a.schema(), a.loadReport(),
                        a.request().eligible());
                verdicts.handleReports(clock.getAsDouble(), a.request().member().name(), a.dependencyReports());
                replica.leases().handleRequest(a.request());
            } else {
                sendLeaderHint(from);
            }
        } else if (message instanceof ClusterMessage.RolloutProposal c) {
            if (replica.isLeader()) {
                controllerActivity = c.activity();
                replica.rollouts().proposeAll(c.operations(),
                        view -> environment.sendMessage(from, new ClusterMessage.RolloutState(c.sequence(), view)));
            } else {
                sendLeaderHint(from);
            }
        } else if (message instanceof ClusterMessage.ShutdownRequest g) {
            replica.disruptions().shutdownRequested(g.from(), g.token());
        } else if (message instanceof ClusterMessage.LeaveNotice l) {
            replica.disruptions().shutdownReported(l.from(), l.by());
        } else if (message instanceof ClusterMessage.JoinRequest v) {
            // Any voter may confirm that the endpoint was added, since the leader that added it may be gone by now.
            if (replica.committedVoters().contains(v.endpoint())) {
                VoterStore.VoterIdentity founding = store.identity();
                environment.sendMessage(from,
                        new ClusterMessage.JoinConfirmation(v.endpoint(), founding.initialVoters(),
                                founding.groupGeneration()));
            } else {
                replica.joinRequested(v.endpoint());
            }
        }
    }

    private void sendLeaderHint(String to) {
        VoterEndpoint leader = replica.leader();
        environment.sendMessage(to,
                new ClusterMessage.LeaderHint(
                        leader == null || leader.equals(replica.localEndpoint()) ? "" : leader.name()));
    }

    /** How dependency endpoints look to all instances, for operators; up to date only while this voter leads. */
    public OutlierDetector verdicts() {
        return verdicts;
    }

    /** What the rollout controller last reported that it is doing, in words. */
    public String controllerActivity() {
        return controllerActivity;
    }

    private void addedToGroup(ClusterMessage.JoinConfirmation added) {
        if (phase != Phase.ASKING_TO_VOTE || !added.endpoint().equals(newEndpoint)) {
            return;
        }
        try {
            store.initialize(new VoterStore.VoterIdentity(newEndpoint, added.voters(), added.groupGeneration()));
            LOG.info("voter joined the group endpoint={}", newEndpoint);
            startReplica();
        } catch (IOException e) {
            failed(e);
        }
    }

    /** Takes how the instances look to this member. */
    public void membersObserved(Map<DisruptionTarget, DisruptionController.Observation> observations) {
        if (replica != null && phase == Phase.SEATED) {
            replica.disruptions().membersObserved(observations);
        }
    }

    /** Proposes an operator's command; only the leader can carry it out. */
    public void propose(LeaseCommand command, Consumer<Outcome> onOutcome) {
        if (replica == null || phase != Phase.SEATED) {
            onOutcome.accept(new Outcome(0, "voter " + settings.name() + " can't propose in phase " + phase
                    + "; it must be " + Phase.SEATED));
        } else {
            replica.leases().propose(command, onOutcome);
        }
    }
}
