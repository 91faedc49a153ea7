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
 * One voter's replica of the group's log: hosts registered state machines over the MicroRaft library, and runs the
 * registered leader services while this voter leads. It knows no domain; each brings its commands, its state, its part
 * of the snapshot ({@link ReplicatedStateMachine}) and its leader's side ({@link LeaderService}).
 *
 * <p>Executor, transport, clock, randomness and store are handed in, so that the same objects run in virtual time. All
 * calls come on the one thread that the timers run on; it is not the requests' thread, as the store may block.
 */
public final class ConsensusReplica implements ReplicatedLog {
    private static final Logger LOG = LoggerFactory.getLogger(ConsensusReplica.class);

    /** What the replica needs of its surroundings. */
    public interface Environment {

        /** Sends to another voter, which may not get it. */
        void send(VoterEndpoint to, RaftMessage message);

        /** The replica can't go on, as its store failed. A new one may go on from what the store has. */
        void failed(Throwable cause);
    }

    /** How far the replica is; it says and writes nothing once it has failed or is closed. */
    private enum Phase {
        RUNNING, RESTARTING_NODE, FAILED, CLOSED
    }

    private static final String GROUP_ID_PREFIX = "hall";
    private static final double HEARTBEATS_PER_TICK = 0.5;

    private final VoterStore store;
    private final VoterEndpoint here;
    private final double tickSeconds;
    private final RaftTiming timing;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final RandomGenerator random;
    private final Environment environment;
    private final StateMachineRegistry machines;
    private final TermStart.Codec termStarts;
    private final List<LeaderService> services = new ArrayList<>();
    private final LeaderSilenceDetector silence = new LeaderSilenceDetector(HEARTBEATS_PER_TICK);
    private final VoterReconfiguration reconfiguration;
    private Collection<String> wantedVoters;
    private RaftNode node;
    private RaftNodeReport report;
    private Phase phase = Phase.RUNNING;
    private boolean leading;
    private long ownTermNonce;

    /**
     * Makes a replica of what the store has; it does nothing before {@link #start}.
     *
     * @param store of a founded voter
     * @param wantedVoters names of those that should vote; 3, 5 or 7
     * @param heartbeatSeconds between the leader's heartbeats
     */
    public ConsensusReplica(VoterStore store, Collection<String> wantedVoters, double heartbeatSeconds,
            Scheduler timers,
            DoubleSupplier clock, RandomGenerator random, Environment environment, StateMachineRegistry machines,
            TermStart.Codec termStarts) {
        VoterStore.Founding founding = store.founding();
        this.store = store;
        this.here = founding.here();
        this.wantedVoters = wantedVoters;
        this.tickSeconds = HEARTBEATS_PER_TICK * heartbeatSeconds;
        this.timing = new RaftTiming(heartbeatSeconds);
        this.timers = timers;
        this.clock = clock;
        this.random = random;
        this.environment = environment;
        this.machines = machines;
        this.termStarts = termStarts;
        this.reconfiguration = new VoterReconfiguration(here, timing, clock);
        this.node = newNode(founding);
    }

    /** Registers what is done at the leader; services are called, and propose, in the order of registration. */
    public void register(LeaderService service) {
        services.add(service);
    }

    private RaftNode newNode(VoterStore.Founding founding) {
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
            builder.setLocalEndpoint(here).setInitialGroupMembers(List.copyOf(founding.initialVoters()));
        } else {
            builder.setRestoredState(restored);
        }
        return builder.build();
    }

    /** Begins to take part in elections and in the log. */
    public void start() {
        startNode();
        timers.schedule(tickSeconds, this::tick);
    }

    private void startNode() {
        silence.reset();
        node.start().whenComplete((done, failure) -> {
            if (failure != null) {
                fail(failure);
            }
        });
    }

    /** Ends the replica in order; the store may be closed once the callback is run. */
    public void close(Runnable done) {
        phase = Phase.CLOSED;
        stepDownServices();
        node.terminate().whenComplete((result, failure) -> done.run());
    }

    /** Takes a message of another voter. One of another group, or of an earlier term, is dropped. */
    public void handle(RaftMessage message) {
        if (phase != Phase.RUNNING || !message.getGroupId().equals(node.getGroupId())
                || StaleTerms.isStaleResponse(message, term())) {
            return;
        }
        boolean fromLeader = message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest;
        if (fromLeader && message.getTerm() >= term()) {
            silence.reset();
        }
        node.handle(message);
        if (StaleTerms.tellsLaterTerm(message, term())) {
            node.handle(StaleTerms.termOnly(message));
        }
    }

    // ---- leadership

    private void tick() {
        if (isOver()) {
            return;
        }
        if (phase == Phase.RUNNING && RaftNodeStatus.isTerminal(node.getStatus())) {
            fail(new IllegalStateException("the raft node has terminated by itself"));
            return;
        }
        if (leading) {
            tickAsLeader();
        }
        if (phase == Phase.RUNNING) {
            noticeSilence();
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

    /** Restarts the raft node from the store, as a restart of the process would, where the leader says nothing. */
    private void noticeSilence() {
        VoterEndpoint leader = leader();
        boolean follower = leader != null && !leader.equals(here);
        if (!silence.tick(follower)) {
            return;
        }
        LOG.info("raft node restarted reason=leader-silent endpoint={} leader={}", here, leader);
        stepDown("leader-silent");
        silence.reset();
        phase = Phase.RESTARTING_NODE;
        // Only once the old node does nothing any more: a vote that it still gave would be forgotten.
        node.terminate().whenComplete((done, failure) -> {
            if (phase == Phase.RESTARTING_NODE) {
                phase = Phase.RUNNING;
                machines.clear();
                report = null;
                node = newNode(store.founding());
                startNode();
            }
        });
    }

    private void termStarted(TermStart start) {
        if (start.nonce() != ownTermNonce || !start.leader().equals(here.toString())) {
            stepDown("other-voter-leads");
            return;
        }
        LOG.info("leader elected endpoint={} term={}", here, term());
        leading = true;
        services.forEach(service -> service.becomeLeader(clock.getAsDouble()));
        runLater(this::proposeSettings);
    }

    private void stepDown(String reason) {
        if (leading) {
            LOG.info("leader stepped down endpoint={} reason={}", here, reason);
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
            LOG.warn("replica failed endpoint={} error={}", here, cause.toString());
            environment.failed(cause);
        }
    }

    private boolean isOver() {
        return phase == Phase.FAILED || phase == Phase.CLOSED;
    }

    private boolean isLeaderOfTerm() {
        return here.equals(node.getTerm().getLeaderEndpoint());
    }

    // ---- settings

    /** The settings were read anew, those of the leader services before. */
    public void settingsChanged(Collection<String> newWantedVoters) {
        wantedVoters = newWantedVoters;
        if (leading) {
            proposeSettings();
        }
    }

    private void proposeSettings() {
        long groupGeneration = store.founding().groupGeneration();
        for (LeaderService service : services) {
            service.settingsCommands(groupGeneration)
                    .forEach(command -> propose(command, completed -> {}));
        }
    }

    /** Somebody whose folder was empty asks to be added as a voter. */
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

    // ---- as seen from here

    @Override
    public boolean isLeader() {
        return leading;
    }

    /** This voter's identity. */
    public VoterEndpoint here() {
        return here;
    }

    /** Who leads as far as is known here; null while nobody does. */
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

    /** The commit index: entries of the log that are committed; 0 before the library has reported. */
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
            return true; // a link that is down is found by silence, as one that loses what it is given
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
            return termStarts.toCommand(new TermStart(here.toString(), ownTermNonce));
        }
    }
}
