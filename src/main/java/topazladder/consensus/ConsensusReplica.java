package topazladder.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.QueryPolicy;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.exception.IndeterminateStateException;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.report.RaftTerm;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.below.Verdicts;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseManager.Step;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.LeaseStateMachine.Outcome;
import topazladder.lease.MemberIdentity;
import topazladder.release.Release;
import topazladder.release.ReleaseLedger;
import topazladder.release.ReleaseOp;
import topazladder.release.View;
import topazladder.service.Scheduler;

/**
 * One voter's replica in the group: the library's consensus below, the duties' ledger and its lease manager above.
 * Executor, transport, clock, chance and store are handed in, so that the same objects run in virtual time. All calls
 * come on the one thread that the timers run on; it is not the requests' thread, as the store may block.
 */
public final class ConsensusReplica {
    private static final Logger LOG = LoggerFactory.getLogger(ConsensusReplica.class);

    /** What the replica needs of the world. */
    public interface World {

        /** To another voter, which may not get it. */
        void send(VoterEndpoint to, RaftMessage message);

        void reply(MemberIdentity to, LeaseResponse answer);

        void nudge(MemberIdentity to);

        /** It may go under that token, and says so before it does. */
        void mayGo(String member, long token);

        /** It goes now, and comes back as that version; empty for as it is. */
        void go(String member, long token, String version);

        /** The replica can't go on: its store failed. Who restarts the process has it read what was kept. */
        void failed(Throwable why);
    }

    /**
     * What an installation sets for its group.
     *
     * @param voters names of those that should vote; 3, 5 or 7
     * @param heartbeat seconds between the leader's heartbeats
     * @param budgets of what may be out at once
     */
    public record Terms(Collection<String> voters, double heartbeat, List<LeaseSettings> duties,
            List<DisruptionBudget> budgets) {
    }

    private static final String GROUP = "hall";
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    /** Tokens of one forming of the group; more than are ever granted. */
    private static final int FORMED_BITS = 40;
    /** Parts of a heartbeat between two looks at the lease manager's time. */
    private static final double TICK = 0.5;
    /** Heartbeats without a word after which a leader is given up that the library should have given up at five. */
    private static final double SILENCE = 8;
    /** Heartbeats for which a new leader looks round before it grants anybody leave. */
    private static final double SIGHT = 20;
    /** The schema from which on a voter can read what is agreed about services below. */
    private static final int KNOWS_BELOW = 3;
    /** The schema from which on a voter can read that a release takes in one more instance. */
    private static final int KNOWS_ADDITIONS = 4;

    private final VoterEndpoint here;
    private Terms terms;
    private final RaftTiming pace;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final World world;
    private final ReplicatedState agreed;
    private final LeaseManager leaseManager;
    private final DisruptionController permits;
    private final Verdicts verdicts;
    private Map<DisruptionTarget, DisruptionController.Observation> seen = Map.of();
    private final VoterSet voters = new VoterSet();
    private final RandomGenerator chance;
    private final VoterStore store;
    private RaftNode node;
    private RaftNodeReport report;
    private int silent;
    private boolean standing;
    private long ownNonce;
    private boolean changing;
    private boolean over;
    private boolean closing;

    public ConsensusReplica(VoterStore store, Terms terms, Scheduler timers, DoubleSupplier clock,
            RandomGenerator chance,
            World world, ReplicatedState agreed, LeaseManager leaseManager, DisruptionController permits,
            Verdicts verdicts) {
        VoterStore.Founding founding = store.founding();
        here = founding.here();
        this.terms = terms;
        this.timers = timers;
        this.clock = clock;
        this.chance = chance;
        this.world = world;
        this.agreed = agreed;
        this.leaseManager = leaseManager;
        this.permits = permits;
        this.verdicts = verdicts;
        this.store = store;
        pace = new RaftTiming(terms.heartbeat());
        node = seated(founding);
    }

    private RaftNode seated(VoterStore.Founding founding) {
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(GROUP + founding.formed())
                .setConfig(pace.config()).setExecutor(pace.executor(timers)).setClock(pace.clock(clock))
                .setRandom(new Random(chance.nextLong())).setTransport(new Voice()).setStateMachine(new Machine())
                .setStore(new Watched(store)).setRaftNodeReportListener(this::reported);
        RestoredRaftState restored = store.restored();
        if (restored == null) {
            builder.setLocalEndpoint(here).setInitialGroupMembers(List.copyOf(founding.first()));
        } else {
            builder.setRestoredState(restored);
        }
        return builder.build();
    }

    public VoterEndpoint here() {
        return here;
    }

    public void start() {
        begin();
        timers.schedule(TICK * terms.heartbeat(), this::tick);
    }

    private void begin() {
        silent = 0;
        node.start().whenComplete((done, e) -> {
            if (e != null) {
                fail(e);
            }
        });
    }

    /**
     * A voter of the library that was started again, and found its leader in the term that it left, never takes that
     * leader for dead: with all followers started again under one leader, its end is the group's. So where a leader is
     * believed in and says nothing for longer than the library should bear, the voter takes its replica anew from what
     * it kept, which is a restart without the process's.
     */
    private void noticeSilence() {
        if (standing) {
            return;
        }
        VoterEndpoint leader = leader();
        silent = leader == null || leader.equals(here) ? 0 : silent + 1;
        if (silent * TICK > SILENCE) {
            LOG.info("{} has heard nothing of {} and takes its seat anew", here, leader);
            resign("it takes its seat anew");
            silent = 0;
            standing = true;
            // Only once the old one does nothing any more: a vote that it still gave would be forgotten.
            node.terminate().whenComplete((o, e) -> {
                standing = false;
                if (!over) {
                    agreed.clear();
                    report = null;
                    node = seated(store.founding());
                    begin();
                }
            });
        }
    }

    /** The process ends in order. */
    public void close(Runnable done) {
        over = true;
        closing = true;
        leaseManager.stepDown();
        node.terminate().whenComplete((o, e) -> done.run());
    }

    public void handle(RaftMessage message) {
        if (!over && !standing && message.getGroupId().equals(node.getGroupId()) && !outdated(message, term())) {
            if (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest) {
                silent = message.getTerm() >= term() ? 0 : silent;
            }
            node.handle(message);
            // A refusal bears the term that was asked for, or the refuser's own where that is higher still.
            if (message instanceof PreVoteResponse r && !r.isGranted() && r.getTerm() > term() + 1) {
                node.handle(termOf(r));
            }
        }
    }

    /**
     * The term of one that refused a pre-vote, in a message of which the library reads the term. It passes over that
     * of a refusal itself: a voter that campaigned alone into high terms, with a short log, and one with the longer
     * log in a lower term then refuse each other for ever. This asks for the refuser's sake for a vote that no voter
     * with a log can give.
     */
    private static RaftMessage termOf(PreVoteResponse r) {
        return MODEL.createVoteRequestBuilder().setGroupId(r.getGroupId()).setSender(r.getSender()).setTerm(r.getTerm())
                .setLastLogTerm(0).setLastLogIndex(0).setSticky(true).build();
    }

    /**
     * Whether it answers what this voter asked in a term before. The library looks at an answer's term only where it is
     * higher: one that was long on its way would count for a leader that has led before and leads again, as a
     * follower's word that it holds entries which it may have dropped since, or that it heard a question not yet asked.
     */
    static boolean outdated(RaftMessage message, int term) {
        return message.getTerm() < term && (message instanceof AppendEntriesSuccessResponse
                || message instanceof AppendEntriesFailureResponse || message instanceof InstallSnapshotResponse
                || message instanceof VoteResponse || message instanceof PreVoteResponse);
    }

    /** Who leads as far as is known here; null while nobody does. */
    public VoterEndpoint leader() {
        RaftTerm term = node.getTerm();
        return term.getLeaderEndpoint() == null ? null : (VoterEndpoint) term.getLeaderEndpoint();
    }

    public boolean leading() {
        return leaseManager.isLeader();
    }

    public LeaseStateMachine ledger() {
        return agreed.duties();
    }

    public DisruptionStateMachine outs() {
        return agreed.outs();
    }

    public ReleaseLedger releases() {
        return agreed.releases();
    }

    /** What a member did of late, and what it can read. */
    public void says(MemberIdentity from, int schema, LoadReport serving, boolean steady) {
        permits.loadReported(clock.getAsDouble(), instance(from.name()), from.incarnation(), schema, serving, steady);
    }

    /** All that a conductor goes by. */
    public View view() {
        Release r = agreed.releases().release();
        List<View.Sight> sights = new ArrayList<>();
        Map<DisruptionTarget, String> blocked = permits.blockedReasons();
        seen.forEach((s, look) -> sights.add(new View.Sight(s.name(), s.zone(), look.health(), look.incarnation(),
                agreed.outs().get(s), blocked.get(s), permits.loadReport(s, look.incarnation()))));
        return new View(r, List.copyOf(sights), here.name(), mostVotersKnow(KNOWS_ADDITIONS));
    }

    /** Whether this voter has led for long enough to have heard of every member. */
    public boolean settled() {
        return leading() && permits.isSettled(clock.getAsDouble());
    }

    /**
     * A voter that can't read an operation stands still until it is of a later version, which must never be most of
     * them.
     */
    private boolean mostVotersKnow(int schema) {
        Collection<VoterEndpoint> voting = voting();
        return 2 * voting.stream().filter(v -> permits.schemaOf(v.name()) >= schema).count() > voting.size();
    }

    /** What the conductor would have agreed on, in its order; then it is shown what came of it. */
    public void conduct(List<ReleaseOp> ops, Consumer<View> then) {
        CompletableFuture<?>[] all = ops.stream().map(this::completed).filter(Objects::nonNull)
                .map(op -> node.replicate(op)).toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(all).whenComplete((done, e) -> {
            if (e != null) {
                notDone(e); // it asks anew, of whoever leads by then
            } else {
                then.accept(view());
            }
        });
    }

    /** With what only the leader knows; null for one that most voters could not read. */
    private ReleaseOp completed(ReleaseOp op) {
        if (!(op instanceof ReleaseOp.AddPlace addition)) {
            return op;
        }
        boolean votes = voting().stream().anyMatch(v -> v.name().equals(addition.place()));
        return mostVotersKnow(KNOWS_ADDITIONS) ? addition.withVotes(votes) : null;
    }

    /** An operator's word on a release. */
    public void propose(ReleaseOp op, Consumer<ReleaseLedger.Outcome> then) {
        node.<ReleaseLedger.Outcome>replicate(op).thenApply(o -> o.getResult())
                .whenComplete((outcome, e) -> then.accept(e == null ? outcome
                        : new ReleaseLedger.Outcome(0, "nobody knows whether it was done: " + e.getMessage())));
    }

    public DisruptionController permits() {
        return permits;
    }

    /** How the instances look from here; of use only while this voter leads. */
    public void seen(Map<DisruptionTarget, DisruptionController.Observation> looks) {
        seen = Map.copyOf(looks);
        permits.membersObserved(clock.getAsDouble(), seen);
    }

    /** A member that may go would go now: once it is written down it may. */
    public void going(MemberIdentity from, long token) {
        if (leaseManager.isLeader()) {
            propose(new DisruptionCommand.Leaving(instance(from.name()), token, from.incarnation(), ""), outcome -> {
                if (outcome.isApplied()) {
                    Disruption out = agreed.outs().get(instance(from.name()));
                    world.go(from.name(), token, out == null ? ""
                            : agreed.releases().versionFor(from.name(), out.requestId()));
                }
            });
        }
    }

    /** A member was told to leave by somebody else, and does so whatever is said here. */
    public void leaving(MemberIdentity from, String by) {
        Disruption out = agreed.outs().get(instance(from.name()));
        boolean known = out != null && out.phase() == Disruption.Phase.GONE && out.incarnation() == from.incarnation();
        if (leaseManager.isLeader() && !known) {
            propose(new DisruptionCommand.Leaving(instance(from.name()), 0, from.incarnation(), by), outcome -> {});
        }
    }

    /** The subject of that name, with its zone where it was seen. */
    public DisruptionTarget instance(String name) {
        DisruptionTarget s = new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, name, "");
        return seen.keySet().stream().filter(s::equals).findFirst().orElse(s);
    }

    /** The same as {@link #propose} about outs. */
    public void propose(DisruptionCommand op, Consumer<DisruptionStateMachine.Outcome> then) {
        if (!leaseManager.isLeader()) {
            then.accept(new DisruptionStateMachine.Outcome(0, "this voter does not lead"));
            return;
        }
        replicateOut(op).whenComplete((outcome, e) -> then.accept(e == null ? outcome
                : new DisruptionStateMachine.Outcome(0, "nobody knows whether it was done: " + e.getMessage())));
    }

    private CompletableFuture<DisruptionStateMachine.Outcome> replicateOut(DisruptionCommand op) {
        return node.<DisruptionStateMachine.Outcome>replicate(op).thenApply(o -> o.getResult());
    }

    public LeaseManager leaseManager() {
        return leaseManager;
    }

    /** For operators: the voters, the term and who leads. */
    public Collection<VoterEndpoint> voting() {
        return endpoints(node.getCommittedMembers().getVotingMembers());
    }

    public int term() {
        return node.getTerm().getTerm();
    }

    /** Entries of the log that are committed; 0 before the library has reported. */
    public long committed() {
        return report == null ? 0 : report.getLog().getCommitIndex();
    }

    public RaftNodeStatus status() {
        return node.getStatus();
    }

    /** Other voters or duties by the settings, which were read anew. */
    public void replace(Terms next) {
        terms = new Terms(next.voters(), terms.heartbeat(), next.duties(), next.budgets());
        if (leaseManager.isLeader()) {
            define();
        }
    }

    /** A member asks; it is answered by {@link World#reply} if this voter leads and a majority says so. */
    public void ask(LeaseRequest ask) {
        carryOut(leaseManager.handleRequest(clock.getAsDouble(), ask));
    }

    /** Somebody with an empty folder would vote again. */
    public void asksToVote(VoterEndpoint who) {
        if (leaseManager.isLeader()) {
            voters.asked(clock.getAsDouble(), who, terms.voters());
        }
    }

    /** An operator's wish; told what became of it, or why nobody knows. */
    public void propose(LeaseCommand op, Consumer<Outcome> then) {
        if (!leaseManager.isLeader()) {
            then.accept(new Outcome(0, "this voter does not lead"));
            return;
        }
        replicate(op).whenComplete((outcome, e) -> then.accept(e == null ? outcome
                : new Outcome(0, "nobody knows whether it was done: " + e.getMessage())));
    }

    private CompletableFuture<Outcome> replicate(LeaseCommand op) {
        return node.<Outcome>replicate(op).thenApply(o -> o.getResult());
    }

    private void tick() {
        if (over) {
            return;
        }
        if (!standing && RaftNodeStatus.isTerminal(node.getStatus())) {
            fail(new IllegalStateException("the group's library has ended"));
            return;
        }
        if (leaseManager.isLeader()) {
            RaftTerm term = node.getTerm();
            if (!here.equals(term.getLeaderEndpoint())) {
                resign("another voter may lead");
            } else {
                carryOut(leaseManager.tick(clock.getAsDouble()));
                permit();
                changeVoters();
            }
        }
        noticeSilence();
        timers.schedule(TICK * terms.heartbeat(), this::tick);
    }

    private void permit() {
        if (mostVotersKnow(KNOWS_BELOW)) {
            verdicts.tick(clock.getAsDouble()).forEach(op -> replicateOut(op, verdicts::over));
        }
        // Behind them: what is withdrawn is not granted in the same moment.
        permits.tick(clock.getAsDouble()).forEach(op -> replicateOut(op, permits::commandCompleted));
        leaseManager.setFastPolling(
                agreed.outs().disruptions().stream().filter(o -> o.phase() == Disruption.Phase.RETURNING)
                        .map(o -> o.target().name()).collect(Collectors.toSet()));
        // Said again and again, until it has gone: the word may be lost, and so may the one back. Also to one that has
        // said that it goes and is still there: the leader that wrote it down may have ended before it told it so.
        Release release = agreed.releases().release();
        boolean halted = release != null && release.phase() == Release.Phase.HALTED;
        for (Disruption o : agreed.outs().disruptions()) {
            DisruptionController.Observation look = seen.get(o.target());
            boolean waits = o.phase() == Disruption.Phase.GONE && o.reason().needsGrant() && look != null
                    && look.incarnation() == o.incarnation()
                    && look.health() != DisruptionController.Health.GONE
                    && !(halted && o.reason() == Disruption.Reason.RELEASE);
            if ((o.phase() == Disruption.Phase.GRANTED || waits)
                    && o.target().kind() == DisruptionTarget.Kind.INSTANCE) {
                world.mayGo(o.target().name(), o.token());
            }
        }
    }

    private void replicateOut(DisruptionCommand op, Consumer<DisruptionCommand> over) {
        replicateOut(op).whenComplete((outcome, e) -> {
            if (e != null) {
                notDone(e);
            }
            over.accept(op);
        });
    }

    private void resign(String why) {
        if (leaseManager.isLeader()) {
            LOG.info("{} does not lead the group any more: {}", here, why);
            leaseManager.stepDown();
            permits.stepDown();
            verdicts.resign();
        }
    }

    private void fail(Throwable why) {
        if (!over) {
            over = true;
            leaseManager.stepDown();
            permits.stepDown();
            verdicts.resign();
            LOG.warn("{} has no seat any more: {}", here, why.toString());
            world.failed(why);
        }
    }

    private void carryOut(List<Step> steps) {
        for (Step step : steps) {
            if (step instanceof Step.Propose p) {
                replicate(p.command()).whenComplete((outcome, e) -> {
                    if (e != null) {
                        notDone(e);
                        leaseManager.commandFailed(p.command());
                    }
                });
            } else if (step instanceof Step.ConfirmLeadership c) {
                node.<Object>query(new Confirm(), QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                        .whenComplete((o, e) -> {
                            if (e != null) {
                                notDone(e);
                            }
                            carryOut(e == null ? leaseManager.leadershipConfirmed(clock.getAsDouble(), c.round())
                                    : leaseManager.leadershipUnconfirmed(c.round()));
                        });
            } else if (step instanceof Step.Reply r) {
                world.reply(r.member(), r.response());
            } else if (step instanceof Step.WakeUp n) {
                world.nudge(n.member());
            }
        }
    }

    /** Asked of a majority; it says nothing but that this led when it was asked. */
    private record Confirm() {
    }

    private void notDone(Throwable e) {
        Throwable cause = e.getCause() == null ? e : e.getCause();
        if (!(cause instanceof IndeterminateStateException) && !here.equals(node.getTerm().getLeaderEndpoint())) {
            resign(cause.getClass().getSimpleName());
        }
    }

    private void define() {
        List<LeaseCommand> first = new ArrayList<>(List.of(new LeaseCommand.Define(terms.duties())));
        long formed = store.founding().formed();
        if (formed > 0) {
            // Of the group before nobody knows how far it went; so far above it, it never came.
            first.add(new LeaseCommand.RaiseTokenFloor(formed << FORMED_BITS));
        }
        for (LeaseCommand op : first) {
            replicate(op).whenComplete((o, e) -> {
                if (e != null) {
                    notDone(e);
                }
            });
        }
        replicateOut(new DisruptionCommand.SetBudgets(terms.budgets())).whenComplete((o, e) -> {
            if (e != null) {
                notDone(e);
            }
        });
    }

    private void changeVoters() {
        RaftGroupMembers members = node.getCommittedMembers();
        if (changing || report == null || members.getLogIndex() != node.getEffectiveMembers().getLogIndex()) {
            return;
        }
        double now = clock.getAsDouble();
        Collection<VoterEndpoint> voting = endpoints(members.getVotingMembers());
        Optional<VoterSet.Change> next = voters.next(now, voting, terms.voters(), heard(voting));
        if (next.isEmpty()) {
            return;
        }
        changing = true;
        VoterSet.Change change = next.get();
        LOG.info("{} {} the voters", change.endpoint(), change.in() ? "is taken in among" : "is taken out of");
        node.changeMembership(change.endpoint(), change.in() ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER
                : MembershipChangeMode.REMOVE_MEMBER, members.getLogIndex()).whenComplete((o, e) -> {
                    changing = false;
                    if (e != null) {
                        LOG.info("{}: the change did not come through: {}", change.endpoint(), e.toString());
                    }
                });
    }

    private Collection<VoterEndpoint> heard(Collection<VoterEndpoint> voting) {
        Set<VoterEndpoint> heard = new HashSet<>(Set.of(here));
        long oldest = pace.clock(clock).millis() - pace.config().getLeaderHeartbeatTimeoutSecs() * 1000;
        report.getHeartbeatTimestamps().forEach((e, at) -> {
            if (at >= oldest) {
                heard.add((VoterEndpoint) e);
            }
        });
        heard.retainAll(voting);
        return heard;
    }

    private static Collection<VoterEndpoint> endpoints(Collection<RaftEndpoint> all) {
        Set<VoterEndpoint> set = new TreeSet<>((a, b) -> a.toString().compareTo(b.toString()));
        all.forEach(e -> set.add((VoterEndpoint) e));
        return set;
    }

    private void reported(RaftNodeReport r) {
        report = r;
    }

    private final class Voice implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            if (!over) {
                world.send((VoterEndpoint) to, message);
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint to) {
            return true; // a link that is down is found by silence, as one that loses what it is given
        }
    }

    /**
     * A store that failed once is not trusted again: the library goes on with what it has in memory, and would answer
     * for it.
     */
    private final class Watched implements RaftStore {
        private final RaftStore store;

        Watched(RaftStore store) {
            this.store = store;
        }

        private interface Write {
            void run() throws IOException;
        }

        private void write(Write what) throws IOException {
            if (over && !closing) {
                throw new IOException("the store has failed before");
            }
            try {
                what.run();
            } catch (IOException | RuntimeException e) {
                fail(e);
                throw e;
            }
        }

        @Override
        public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
            write(() -> store.persistAndFlushLocalEndpoint(endpoint));
        }

        @Override
        public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
            write(() -> store.persistAndFlushInitialGroupMembers(members));
        }

        @Override
        public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
            write(() -> store.persistAndFlushTerm(term));
        }

        @Override
        public void persistLogEntries(List<LogEntry> entries) throws IOException {
            write(() -> store.persistLogEntries(entries));
        }

        @Override
        public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
            write(() -> store.persistSnapshotChunk(chunk));
        }

        @Override
        public void truncateLogEntriesFrom(long index) throws IOException {
            write(() -> store.truncateLogEntriesFrom(index));
        }

        @Override
        public void truncateLogEntriesUntil(long index) throws IOException {
            write(() -> store.truncateLogEntriesUntil(index));
        }

        @Override
        public void deleteSnapshotChunks(long index, int count) throws IOException {
            write(() -> store.deleteSnapshotChunks(index, count));
        }

        @Override
        public void flush() throws IOException {
            write(store::flush);
        }
    }

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof Confirm) {
                return Boolean.TRUE;
            }
            Object done = agreed.apply(operation);
            if (!(operation instanceof LeaseCommand op)) {
                return done;
            }
            Outcome outcome = (Outcome) done;
            double now = clock.getAsDouble();
            if (op instanceof LeaseCommand.BeginLeadership lead) {
                if (lead.nonce() == ownNonce && lead.leader().equals(here.toString())) {
                    LOG.info("{} leads the group in term {}", here, node.getTerm().getTerm());
                    leaseManager.becomeLeader(now);
                    permits.becomeLeader(now, SIGHT * terms.heartbeat());
                    verdicts.lead(now);
                    timers.schedule(0, ConsensusReplica.this::define);
                } else {
                    resign(lead.leader() + " leads");
                }
            } else {
                // Not from within: the library is in the middle of its own step.
                List<Step> steps = leaseManager.commandApplied(now, op, outcome);
                if (!steps.isEmpty()) {
                    timers.schedule(0, () -> carryOut(steps));
                }
            }
            return outcome;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            chunks.accept(agreed.copy());
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            agreed.replace((ReplicatedState.Copy) chunks.get(0));
        }

        @Override
        public Object getNewTermOperation() {
            ownNonce = chance.nextLong();
            return new LeaseCommand.BeginLeadership(here.toString(), ownNonce);
        }
    }
}
