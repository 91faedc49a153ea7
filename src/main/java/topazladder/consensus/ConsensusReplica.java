package topazladder.consensus;

import io.microraft.QueryPolicy;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.exception.IndeterminateStateException;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftNodeReport;
import io.microraft.report.RaftTerm;
import io.microraft.transport.Transport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.service.Scheduler;

/**
 * One voter's replica of the group's log, built on the MicroRaft library. It hosts the registered state machines, and
 * runs the registered leader services while this voter leads. It knows nothing of the domains: each brings its
 * commands, its state and its part of the snapshot ({@link ReplicatedStateMachine}), and the service that its leader
 * runs ({@link LeaderService}).
 *
 * <p>Executor, transport, clock, randomness and store are injected, so that the same objects run in virtual time. All
 * calls come on the thread that the timers run on. Requests are served on another thread, as the store may block.
 */
public final class ConsensusReplica implements ReplicatedLog {
    private static final Logger LOG = LoggerFactory.getLogger(ConsensusReplica.class);

    /** What the replica needs from the program around it. */
    public interface Environment {

        /** Sends a message to another voter; it may be lost. */
        void send(VoterEndpoint to, RaftMessage message);

        /** The replica has stopped because its store failed. A new replica may continue from what the store holds. */
        void failed(Throwable cause);
    }

    /** Lifecycle of the replica. A failed or closed replica sends and writes nothing. */
    private enum Phase {
        RUNNING, RESTARTING_NODE, FAILED, CLOSED
    }

    private static final String GROUP_ID_PREFIX = "hall";
    private static final double HEARTBEATS_PER_TICK = 0.5;

    private final VoterStore store;
    private final VoterEndpoint localEndpoint;
    private final double tickSeconds;
    private final RaftTiming timing;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final RandomGenerator random;
    private final Environment environment;
    private final StateMachineRegistry machines;
    private final TermStart.Codec termStarts;
    private final List<LeaderService> services = new ArrayList<>();
    private final LeaderSilenceDetector leaderSilence = new LeaderSilenceDetector(HEARTBEATS_PER_TICK);
    private final VoterReconfiguration reconfiguration;
    private Collection<String> wantedVoters;
    private RaftNode node;
    private RaftNodeReport report;
    private Phase phase = Phase.RUNNING;
    private boolean leading;
    private long ownTermNonce;

    /**
     * Creates a replica from what the store holds; it does nothing before {@link #start}.
     *
     * @param store initialized store of this voter
     * @param wantedVoters names of the members that should vote; 3, 5 or 7 of them
     * @param heartbeatSeconds interval between the leader's heartbeats
     */
    public ConsensusReplica(VoterStore store, Collection<String> wantedVoters, double heartbeatSeconds,
            Scheduler timers,
            DoubleSupplier clock, RandomGenerator random, Environment environment, StateMachineRegistry machines,
            TermStart.Codec termStarts) {
        VoterStore.VoterIdentity founding = store.identity();
        this.store = store;
        this.localEndpoint = founding.localEndpoint();
        this.wantedVoters = wantedVoters;
        this.tickSeconds = HEARTBEATS_PER_TICK * heartbeatSeconds;
        this.timing = new RaftTiming(heartbeatSeconds);
        this.timers = timers;
        this.clock = clock;
        this.random = random;
        this.environment = environment;
        this.machines = machines;
        this.termStarts = termStarts;
        this.reconfiguration = new VoterReconfiguration(localEndpoint, timing, clock);
        this.node = newNode(founding);
    }

    /** Registers a leader service. Services are called, and their commands proposed, in the order of registration. */
    public void register(LeaderService service) {
        services.add(service);
    }

    private RaftNode newNode(VoterStore.VoterIdentity founding) {
        FailStopStore failStopStore = new FailStopStore(store, () -> phase == Phase.FAILED, this::fail);
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(GROUP_ID_PREFIX + founding.groupGeneration())
                .setConfig(timing.config())
                .setExecutor(timing.executor(timers))
                .setClock(timing.clock(clock))
                .setRandom(new Random(random.nextLong()))
                .setTransport(new EnvironmentTransport())
                .setStateMachine(new RaftStateMachine(machines, new LogListener()))
                .setStore(failStopStore)
                .setRaftNodeReportListener(latest -> report = latest);
        RestoredRaftState restored = store.restored();
        if (restored == null) {
            builder.setLocalEndpoint(localEndpoint).setInitialGroupMembers(List.copyOf(founding.initialVoters()));
        } else {
            builder.setRestoredState(restored);
        }
        return builder.build();
    }

    /** Starts taking part in elections and replication. */
    public void start() {
        startNode();
        timers.schedule(tickSeconds, this::tick);
    }

    private void startNode() {
        leaderSilence.reset();
        node.start().whenComplete((done, failure) -> {
            if (failure != null) {
                fail(failure);
            }
        });
    }

    /** Closes the replica gracefully; the store may be closed once the callback has run. */
    public void close(Runnable done) {
        phase = Phase.CLOSED;
        stepDownServices();
        node.terminate().whenComplete((result, failure) -> done.run());
    }

    /** Handles a message of another voter. Messages of another group and stale responses are dropped. */
    public void handle(RaftMessage message) {
        if (phase != Phase.RUNNING || !message.getGroupId().equals(node.getGroupId())
                || TermRules.isStaleResponse(message, term())) {
            return;
        }
        boolean fromLeader = message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest;
        if (fromLeader && message.getTerm() >= term()) {
            leaderSilence.reset();
        }
        node.handle(message);
        if (TermRules.revealsLaterTerm(message, term())) {
            node.handle(TermRules.termUpdate(message));
        }
    }

    // ---- leadership

    private void tick() {
        if (isOver()) {
            return;
        }
        if (phase == Phase.RUNNING && RaftNodeStatus.isTerminal(node.getStatus())) {
            fail(new IllegalStateException("raft node terminated unexpectedly status=" + node.getStatus()));
            return;
        }
        if (leading) {
            tickAsLeader();
        }
        if (phase == Phase.RUNNING) {
            restartNodeIfLeaderSilent();
        }
        timers.schedule(tickSeconds, this::tick);
    }

    private void tickAsLeader() {
        if (!isLeaderOfTerm()) {
            stepDown("other-voter-may-lead");
            return;
        }
        services.forEach(service -> service.tick(clock.getAsDouble()));
        if (report != null) {
            reconfiguration.tick(node, report, wantedVoters);
        }
    }

    /** Restarts the raft node from the store, as a restart of the process would, if the leader is silent. */
    private void restartNodeIfLeaderSilent() {
        VoterEndpoint leader = leader();
        boolean follower = leader != null && !leader.equals(localEndpoint);
        if (!leaderSilence.tick(follower)) {
            return;
        }
        LOG.info("raft node restarted reason=leader-silent endpoint={} leader={}", localEndpoint, leader);
        stepDown("leader-silent");
        leaderSilence.reset();
        phase = Phase.RESTARTING_NODE;
        // The new node reads the store once the old one has ended; it would not know of a vote given after that.
        node.terminate().whenComplete((done, failure) -> {
            if (phase == Phase.RESTARTING_NODE) {
                phase = Phase.RUNNING;
                machines.clear();
                report = null;
                node = newNode(store.identity());
                startNode();
            }
        });
    }

    private void termStarted(TermStart start) {
        if (start.nonce() != ownTermNonce || !start.leader().equals(localEndpoint.toString())) {
            stepDown("other-voter-leads");
            return;
        }
        LOG.info("leader elected endpoint={} term={}", localEndpoint, term());
        leading = true;
        services.forEach(service -> service.becomeLeader(clock.getAsDouble()));
        runLater(this::proposeSettings);
    }

    private void stepDown(String reason) {
        if (leading) {
            LOG.info("leader stepped down endpoint={} reason={}", localEndpoint, reason);
            stepDownServices();
        }
    }

    private void stepDownServices() {
        leading = false;
        services.forEach(LeaderService::stepDown);
    }

    private void fail(Throwable cause) {
        if (!isOver()) {
            phase = Phase.FAILED;
            stepDownServices();
            LOG.warn("replica failed endpoint={} error={}", localEndpoint, cause.toString());
            environment.failed(cause);
        }
    }

    private boolean isOver() {
        return phase == Phase.FAILED || phase == Phase.CLOSED;
    }

    private boolean isLeaderOfTerm() {
        return localEndpoint.equals(node.getTerm().getLeaderEndpoint());
    }

    // ---- settings

    /** Applies reloaded settings; the leader services have got theirs already. */
    public void settingsChanged(Collection<String> newWantedVoters) {
        wantedVoters = newWantedVoters;
        if (leading) {
            proposeSettings();
        }
    }

    private void proposeSettings() {
        long groupGeneration = store.identity().groupGeneration();
        for (LeaderService service : services) {
            service.settingsCommands(groupGeneration)
                    .forEach(command -> propose(command, completed -> {}));
        }
    }

    /** Handles the request of a member with an empty data folder to be added as a voter. */
    public void joinRequested(VoterEndpoint endpoint) {
        if (leading) {
            reconfiguration.joinRequested(endpoint, wantedVoters);
        }
    }

    // ---- the log

    @Override
    public <T> CompletableFuture<T> replicate(Object command) {
        return node.<T>replicate(command).thenApply(ordered -> ordered.getResult());
    }

    @Override
    public CompletableFuture<?> confirmLeadership() {
        return node.<Object>query(new RaftStateMachine.LeadershipQuery(), QueryPolicy.LINEARIZABLE, Optional.empty(),
                Optional.empty());
    }

    @Override
    public void replicationFailed(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        // An indeterminate result says nothing about who leads.
        if (!(cause instanceof IndeterminateStateException) && !isLeaderOfTerm()) {
            stepDown(cause.getClass().getSimpleName());
        }
    }

    @Override
    public void runLater(Runnable task) {
        timers.schedule(0, task);
    }

    @Override
    public double now() {
        return clock.getAsDouble();
    }

    // ---- state of the group as known here

    @Override
    public boolean isLeader() {
        return leading;
    }

    /** This voter's identity. */
    public VoterEndpoint localEndpoint() {
        return localEndpoint;
    }

    /** The leader as far as this voter knows; null if it knows none. */
    public VoterEndpoint leader() {
        RaftTerm term = node.getTerm();
        return term.getLeaderEndpoint() == null ? null : (VoterEndpoint) term.getLeaderEndpoint();
    }

    @Override
    public Collection<VoterEndpoint> voting() {
        return VoterReconfiguration.endpoints(node.getCommittedMembers().getVotingMembers());
    }

    public int term() {
        return node.getTerm().getTerm();
    }

    /** The log's commit index; 0 before the library's first report. */
    public long commitIndex() {
        return report == null ? 0 : report.getLog().getCommitIndex();
    }

    private final class EnvironmentTransport implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            if (!isOver()) {
                environment.send((VoterEndpoint) to, message);
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint to) {
            return true; // a broken link shows by its silence, like one that loses messages
        }
    }

    private final class LogListener implements RaftStateMachine.Listener {
        @Override
        public void commandApplied(Object command, Object outcome) {
            Optional<TermStart> start = termStarts.fromCommand(command);
            if (start.isPresent()) {
                termStarted(start.get());
            } else {
                services.forEach(service -> service.commandApplied(clock.getAsDouble(), command, outcome));
            }
        }

        @Override
        public Object newTermCommand() {
            ownTermNonce = random.nextLong();
            return termStarts.toCommand(new TermStart(localEndpoint.toString(), ownTermNonce));
        }
    }
}
