package topazladder.emulator.hall;

import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import topazladder.cluster.ClusterMember;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.MemberSettings;
import topazladder.cluster.RolloutControllerNode;
import topazladder.cluster.RolloutStart;
import topazladder.cluster.VoterNode;
import topazladder.consensus.InMemoryVoterStore;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.ThroughputMeter;
import topazladder.emulator.Timeline;
import topazladder.endpoint.CallOutcome;
import topazladder.endpoint.EndpointSelector;
import topazladder.faults.EffectLedger;
import topazladder.faults.Fault;
import topazladder.faults.Links;
import topazladder.faults.OutCount;
import topazladder.faults.Schedule;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Membership;
import topazladder.replication.ClusterReplica;
import topazladder.replication.ClusterState;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutPlan;
import topazladder.service.Scheduler;

/**
 * A hall in virtual time: the program's own members, voters and library, between links, disks and clocks that fail by a
 * schedule, and a service that writes down the effects of duties. The same seed plays the same to the byte.
 */
public final class HallWorld {
    /** Seconds between two effects of a duty, by its holder's clock. */
    private static final double EFFECTS_EVERY = 0.1;
    /** Between the look at the clock and the effect's leaving; a stall may come there. */
    private static final double GAP = 0.004;
    private static final double QUICKEST = 0.0005;
    private static final double SLOWEST = 0.02;
    private static final int LAST_LINES = 60;
    private static final String CONDUCTS = "release";
    /** The schema of a program that can't read releases, and of this one. */
    private static final int OLD = 1;
    private static final int NOW = 4;
    private static final double LATE = 12;
    private static final double NEVER = 1e6;
    private static final int LOOPS = 2;
    private static final double LOOP_FOR = 1.5;
    /** Seconds behind a halt for which a word that was on its way may still come. */
    private static final double AFTER_HALT = 12;
    /** Seconds for which one that went out as agreed is away. */
    private static final double AGREED_OUT = 2;
    /** Seconds for which one may be down and not be known to be. */
    private static final double UNSEEN = 12;

    /** How the hall is set up. */
    public record Setup(int members, int voters, int duties, double lease, double heartbeat,
            Membership.Settings membership, List<DisruptionBudget> budgets, Roll roll, Servers below) {

        public Setup(int members, int voters, int duties, double lease, double heartbeat,
                Membership.Settings membership,
                List<DisruptionBudget> budgets, Roll roll) {
            this(members, voters, duties, lease, heartbeat, membership, budgets, roll, null);
        }

        public Setup(int members, int voters, int duties, double lease, double heartbeat,
                Membership.Settings membership) {
            this(members, voters, duties, lease, heartbeat, membership, List.of());
        }

        public Setup(int members, int voters, int duties, double lease, double heartbeat,
                Membership.Settings membership,
                List<DisruptionBudget> budgets) {
            this(members, voters, duties, lease, heartbeat, membership, budgets, null);
        }

        /** One whose instances call servers below. */
        public Setup calling(Servers servers) {
            return new Setup(members, voters, duties, lease, heartbeat, membership, budgets, roll, servers);
        }

        /** Quick leases and quicker elections, for storms over the voters: the shorter both are, the more they meet. */
        public static Setup stormy(Schedule s) {
            SplittableRandom chance = new SplittableRandom(s.seed() ^ 0x5702);
            double heartbeat = chance.nextDouble(0.05, 0.12);
            return new Setup(s.processes(), s.voters(), 3, Math.max(0.6, 4 * heartbeat), heartbeat,
                    new Membership.Settings(0.5, 3, 3600));
        }

        /** A lease of 0.6 to 6 s beside heartbeats of 0.05 to 0.5 s, drawn by the schedule's seed. */
        public static Setup of(Schedule s) {
            SplittableRandom chance = new SplittableRandom(s.seed() ^ 0x1ea5e);
            return new Setup(s.processes(), s.voters(), 3, chance.nextDouble(0.6, 6), chance.nextDouble(0.05, 0.5),
                    new Membership.Settings(0.5, 3, 3600));
        }
    }

    /**
     * A hall whose instances serve, and are released.
     *
     * @param fleet what they serve
     * @param supervisor that starts them again
     * @param zones they stand in
     * @param down seconds from a drain's begin until the process is there again
     * @param old instances that run a version which can't read releases
     */
    public record Roll(Fleet fleet, Supervisor supervisor, int zones, double down, Set<Integer> old) {
    }

    /**
     * What came of a play.
     *
     * @param breaks of safety, by the world's ledger
     * @param stuck duties that nobody held at the end, though all was well for long
     * @param longestGap seconds without an effect of one duty, at the most
     * @param handed grants in all
     * @param happenings round the first break, or the last ones
     * @param said messages from member to member
     * @param firstOfAll when the last of all duties was first done; NaN where not all were
     */
    public record Outcome(List<String> breaks, List<String> stuck, double longestGap, long handed, long effects,
            long late,
            List<String> happenings, long said, long saidByBusiest, double firstOfAll) {

        public boolean good() {
            return breaks.isEmpty() && stuck.isEmpty();
        }
    }

    private final Schedule schedule;
    private final Setup setup;
    private final Plant plant;
    private final UnaryOperator<ClusterMessage> wire;
    private final Timeline time = new Timeline(0);
    private final SplittableRandom chance;
    private final Links links;
    private final EffectLedger ledger = new EffectLedger(true);
    private final EffectLedger looks = new EffectLedger(true);
    private final OutCount outs;
    private final Node[] nodes;
    private final Map<String, Node> byName = new HashMap<>();
    private double haltedSince = Double.NaN;
    private double doneAt = Double.NaN;
    private int most; // not serving at once
    private final List<String> released = new ArrayList<>(); // what a release did and should not have
    private final Deque<String> happenings = new ArrayDeque<>();
    private List<String> atBreak = List.of();
    private final List<String> voters = new ArrayList<>();
    private final List<LeaseSettings> duties = new ArrayList<>();

    public HallWorld(Schedule schedule, Setup setup, Plant plant) {
        this(schedule, setup, plant, s -> s);
    }

    /** @param wire what each message goes through on its way, as a codec there and back */
    public HallWorld(Schedule schedule, Setup setup, Plant plant, UnaryOperator<ClusterMessage> wire) {
        this.schedule = schedule;
        this.setup = setup;
        this.plant = plant;
        this.wire = wire;
        chance = new SplittableRandom(schedule.seed() ^ 0x5eed);
        links = new Links(chance.split());
        nodes = new Node[setup.members()];
        outs = new OutCount(setup.members(), setup.budgets().isEmpty() ? 0 : setup.budgets().get(0).maxUnavailable(),
                UNSEEN);
        for (int i = 0; i < setup.voters(); i++) {
            voters.add(name(i));
        }
        for (int i = 0; i < setup.duties(); i++) {
            duties.add(new LeaseSettings("duty-" + i, setup.lease(), 3));
        }
        if (setup.roll() != null) {
            duties.add(new LeaseSettings(CONDUCTS, setup.lease(), 16));
        }
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new Node(i);
            byName.put(nodes[i].name, nodes[i]);
        }
    }

    private static String name(int i) {
        return "n" + i;
    }

    public Timeline time() {
        return time;
    }

    public Node node(int i) {
        return nodes[i];
    }

    /** An operator asks, of whoever leads, that a member go out. */
    public void askOut(int who) {
        for (Node n : nodes) {
            if (n.up && !n.stalled && n.voter != null && n.voter.replica() != null && n.voter.replica().isLeader()) {
                n.voter.replica().disruptions()
                        .propose(
                                new DisruptionCommand.Request(n.voter.replica().disruptions().instanceTarget(name(who)),
                                        Disruption.Reason.OPERATOR, "operator",
                                        "an operator"),
                                o -> {});
            }
        }
    }

    /** An operator's word to whoever leads; false where nobody does. */
    public boolean order(Function<ClusterReplica, RolloutCommand> what) {
        for (Node n : nodes) {
            if (n.up && !n.stalled && n.voter != null && n.voter.replica() != null && n.voter.replica().isLeader()) {
                RolloutCommand op = what.apply(n.voter.replica());
                if (op != null) {
                    happened("an operator says " + op.getClass().getSimpleName());
                    n.voter.replica().rollouts().propose(op, o -> happened(op.getClass().getSimpleName() + ": "
                            + (o.isApplied() ? "done" : o.rejection())));
                }
                return op != null;
            }
        }
        return false;
    }

    /** Starts a release of the whole hall once somebody leads; tries until then. */
    public void release(RolloutPlan plan) {
        boolean begun = order(replica -> {
            // By what the leader has heard of, as on sockets: one that it has not heard of must not be left behind.
            RolloutStart.Decision decision = RolloutStart.decide(replica, plan, RolloutCommand.Proposer.operator(0));
            if (decision.isRefused()) {
                happened("the release is refused: " + decision.refusal());
            }
            return decision.operation();
        });
        // Whoever is told that nobody knows looks whether it was done, and says it again.
        time.schedule(begun ? 5 : 1, () -> {
            if (release() == null) {
                release(plan);
            }
        });
    }

    /** The release as the voter that applied most has it; null where there is none. */
    public Rollout release() {
        Rollout best = null;
        for (Node n : nodes) {
            Rollout r = n.voter == null || n.voter.replica() == null ? null
                    : n.voter.replica().state().rollouts().rollout();
            if (r != null && (best == null || r.id() > best.id() || r.id() == best.id()
                    && r.history().size() > best.history().size())) {
                best = r;
            }
        }
        return best;
    }

    /** When the release was first seen to be done; NaN where it was not. */
    public double doneAt() {
        return doneAt;
    }

    /** Instances that did not serve at once, at the most, since the last time this was asked. */
    public int mostOut() {
        int was = most;
        most = 0;
        return was;
    }

    /** Somebody has an instance end and come back as that version, without asking anybody. */
    public void rollOne(int who, String as) {
        nodes[who].nextVersion = as;
        nodes[who].leave(setup.roll().down());
    }

    /** Whether an instance serves, warm. */
    public boolean warm(int who) {
        Node n = nodes[who];
        return n.up && !n.leaving && n.serving != null && time.getAsDouble() - n.serving.since() >= Fleet.WARM_AFTER;
    }

    /** Something breaks now, whatever the schedule says. */
    public void strike(Fault f) {
        begin(f);
    }

    /** Who conducts as far as it may go on now; -1 for nobody. */
    public int conductor() {
        for (Node n : nodes) {
            if (n.up && n.member.fencingToken(CONDUCTS).isPresent()) {
                return n.index;
            }
        }
        return -1;
    }

    /** One that has leave to go, or has gone by it and is not back; -1 for none. */
    public int going() {
        ClusterReplica replica = leading();
        if (replica != null) {
            for (Disruption o : replica.state().disruptions().disruptions()) {
                if (o.reason() == Disruption.Reason.RELEASE && o.phase() != Disruption.Phase.ASKED) {
                    return byName.get(o.target().name()).index;
                }
            }
        }
        return -1;
    }

    /** Whoever leads, as it knows by itself; null where nobody does. */
    public ClusterReplica leading() {
        for (Node n : nodes) {
            if (n.up && !n.stalled && n.voter != null && n.voter.replica() != null && n.voter.replica().isLeader()) {
                return n.voter.replica();
            }
        }
        return null;
    }

    /**
     * All that is agreed about the release and who is out for it, in words: where it changes, a step was taken. Null
     * while nobody leads.
     */
    public String step() {
        ClusterReplica replica = leading();
        Rollout r = release();
        if (replica == null || r == null) {
            return null;
        }
        StringBuilder all = new StringBuilder(r.phase() + " " + r.isRollback() + ' ' + r.wave());
        r.targets().forEach(p -> all.append(' ').append(p.name()).append(p.stage()).append(p.attempt()));
        replica.state().disruptions().disruptions()
                .forEach(o -> all.append(' ').append(o.target()).append(o.phase()).append(o.token()));
        return all.toString();
    }

    /** What each instance runs, by the world. */
    public List<String> versions() {
        List<String> all = new ArrayList<>();
        for (Node n : nodes) {
            all.add(n.version);
        }
        return all;
    }

    private void serve() {
        Fleet.Serving[] serving = new Fleet.Serving[nodes.length];
        for (Node n : nodes) {
            serving[n.index] = n.up && !n.stalled && !n.leaving ? n.serving : null;
        }
        double now = time.getAsDouble();
        Rollout agreed = release();
        if (agreed == null || agreed.phase() != Rollout.Phase.HALTED) {
            haltedSince = Double.NaN;
        } else if (Double.isNaN(haltedSince)) {
            haltedSince = now;
        }
        if (agreed != null && agreed.isDone() && Double.isNaN(doneAt)) {
            doneAt = now;
        }
        most = Math.max(most, (int) Arrays.stream(serving).filter(s -> s == null).count());
        setup.roll().fleet().step(now, serving);
        for (Node n : nodes) {
            if (serving[n.index] != null) {
                n.member.setLoadReport(n.meter.measure(now, n.serving.counted(), setup.roll().fleet().megabytes(now,
                        n.serving)));
            }
        }
        time.schedule(Fleet.STEP, this::serve);
    }

    private void call() {
        for (Node n : nodes) {
            boolean does = n.up && !n.stalled && !n.leaving;
            for (int i = 0; does && i < Servers.CALLS; i++) {
                n.call(-1);
            }
            if (does) {
                n.tellChanges();
            }
            setup.below().calls(time.getAsDouble(), n.index, does);
        }
        setup.below().look(time.getAsDouble());
        time.schedule(Servers.STEP, this::call);
    }

    public OutCount outs() {
        return outs;
    }

    public EffectLedger ledger() {
        return ledger;
    }

    /** All members read settings that name other voters; one that is new among them is started again to vote. */
    public void changeVoters(int... who) {
        voters.clear();
        for (int i : who) {
            voters.add(name(i));
        }
        for (Node n : nodes) {
            if (voters.contains(n.name) && n.disk == null) {
                n.disk = new Planted.Store(plant);
                n.kill(0.2, false);
            } else if (n.up) {
                n.member.replaceSettings(n.terms());
                if (n.voter != null) {
                    n.voter.replaceSettings(n.terms());
                }
            }
        }
    }

    /** Founds the group and starts all members within the first second. */
    public HallWorld open() {
        List<VoterEndpoint> first = new ArrayList<>();
        for (int i = 0; i < setup.voters(); i++) {
            first.add(new VoterEndpoint(name(i), 0));
        }
        for (Node n : nodes) {
            if (n.disk != null) {
                try {
                    n.disk.initialize(new VoterStore.VoterIdentity(first.get(n.index), first, 0));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
            time.schedule(chance.nextDouble(), n::start);
        }
        for (Fault f : schedule.faults()) {
            time.schedule(f.at(), () -> begin(f));
        }
        if (setup.roll() != null) {
            time.schedule(Fleet.STEP, this::serve);
        }
        if (setup.below() != null) {
            time.schedule(Servers.STEP, this::call);
        }
        return this;
    }

    public Outcome play() {
        open();
        double end = schedule.length();
        for (double at = 1; at < end; at++) {
            time.runUntil(at);
            if (atBreak.isEmpty() && broken()) {
                atBreak = List.copyOf(happenings);
                break;
            }
        }
        time.runUntil(end);
        return outcome();
    }

    private boolean broken() {
        return !released.isEmpty() || !ledger.breaks().isEmpty() || !looks.breaks().isEmpty()
                || !outs.breaks().isEmpty() || setup.below() != null && !setup.below().breaks().isEmpty();
    }

    public Outcome outcome() {
        List<String> breaks = new ArrayList<>(looks.breaks());
        breaks.addAll(ledger.breaks());
        breaks.addAll(outs.breaks());
        breaks.addAll(released);
        if (setup.below() != null) {
            breaks.addAll(setup.below().breaks());
        }
        Rollout r = setup.roll() == null ? null : release();
        if (r != null && r.isDone()) {
            for (Node n : nodes) {
                if (!n.version.equals(r.targetVersion())) {
                    breaks.add(
                            n.name + " runs " + n.version + ", and the release to " + r.targetVersion() + " is done");
                }
            }
        }
        List<String> stuck = new ArrayList<>();
        for (LeaseSettings d : duties) {
            double idle = time.getAsDouble() - ledger.lastEffect(d.name());
            if (idle > 1 && !halted(d.name()) && !d.name().equals(CONDUCTS)) {
                stuck.add(String.format(Locale.ROOT, "%s: nothing for %.1f s", d.name(), idle));
            }
        }
        long said = 0;
        long most = 0;
        for (Node n : nodes) {
            said += n.said;
            most = Math.max(most, n.said);
        }
        return new Outcome(breaks, stuck, ledger.longestGap(), ledger.tokens(), ledger.effects(), ledger.late(),
                atBreak.isEmpty() ? List.copyOf(happenings) : atBreak, said, most, ledger.firstOfAll(duties.size()));
    }

    private boolean halted(String duty) {
        for (Node n : nodes) {
            if (n.voter != null && n.voter.replica() != null && n.voter.replica().isLeader()) {
                return n.voter.replica().state().leases().get(duty) != null
                        && n.voter.replica().state().leases().get(duty).isSuspended();
            }
        }
        return false;
    }

    private void happened(String what) {
        happenings.add(String.format(Locale.ROOT, "%.3f %s", time.getAsDouble(), what));
        if (happenings.size() > LAST_LINES) {
            happenings.poll();
        }
    }

    // ---- faults

    private void begin(Fault drawn) {
        Fault f = resolved(drawn);
        happened("fault: " + f);
        switch (f.kind()) {
            case STALL -> {
                nodes[f.who()].stall();
                time.schedule(f.seconds(), nodes[f.who()]::resume);
            }
            case KILL -> nodes[f.who()].kill(f.seconds(), false);
            case WIPE -> nodes[f.who()].kill(f.seconds(), true);
            case KILL_ALL -> {
                for (Node n : nodes) {
                    n.kill(f.seconds() * (1 + n.index) / nodes.length, false);
                }
            }
            case LEAVE -> nodes[f.who()].leave(f.seconds());
            case DISK_FULL -> {
                Node n = nodes[f.who()];
                n.disk.failWritesAfter((long) f.amount());
                time.schedule(f.seconds(), n.disk::allowWrites);
            }
            case KILL_AT_VOTE -> nodes[f.who()].killAtVote(f.seconds());
            default -> {
                links.begin(f);
                time.schedule(f.seconds(), () -> {
                    links.end(f);
                    happened("over: " + f);
                });
            }
        }
    }

    /** With processes in place of roles; where nobody has the role, the first process stands in. */
    private Fault resolved(Fault f) {
        int leader = 0;
        int holder = 0;
        for (Node n : nodes) {
            if (n.up && n.voter != null && n.voter.replica() != null && n.voter.replica().isLeader()) {
                leader = n.index;
            }
            if (n.up && n.member != null && n.member.fencingToken(duties.get(0).name()).isPresent()) {
                holder = n.index;
            }
        }
        return f.kind() == Fault.Kind.MINORITY ? f.halves(leader, holder)
                : f.who() == Fault.LEADER ? f.of(leader) : f.who() == Fault.HOLDER ? f.of(holder) : f;
    }

    private void send(Node from, String to, ClusterMessage what) {
        Node target = byName.get(to);
        if (target == null || !target.up) {
            return;
        }
        from.said++;
        if (target == from) {
            target.in(0, () -> target.heard(from.name, what));
            return;
        }
        Links.Fate fate = links.fate(time.getAsDouble(), from.index, target.index);
        if (fate.lost()) {
            return;
        }
        ClusterMessage received = wire.apply(what);
        int life = target.life;
        for (int i = 0; i < fate.copies(); i++) {
            double delay = chance.nextDouble(QUICKEST, SLOWEST) + fate.delay();
            // On one connection nothing overtakes.
            double arrives = Math.max(time.getAsDouble() + delay, from.lastTo.getOrDefault(to, 0.0));
            from.lastTo.put(to, arrives);
            time.schedule(arrives - time.getAsDouble(),
                    () -> target.run(life, () -> target.heard(from.name, received)));
        }
    }

    /** One process and its disk. */
    public final class Node {
        private final int index;
        private final String name;
        private final double rate;
        private final double offset;
        private InMemoryVoterStore disk;
        private final Map<String, Double> lastTo = new HashMap<>();
        private final List<Runnable> backlog = new ArrayList<>();
        private final Set<String> done = new HashSet<>(); // of this life
        private final Set<String> askers = new HashSet<>(); // likewise
        private int life;
        private boolean up;
        private boolean stalled;
        private ClusterMember member;
        private VoterNode voter;
        private long said;
        private String version = "A";
        private String nextVersion;
        private int loops;
        private boolean leaving;
        private boolean forRelease;
        private Fleet.Serving serving;
        private ThroughputMeter meter;
        private RolloutControllerNode conductor;
        private EndpointSelector use;
        private final Map<String, EndpointSelector.State> stood = new HashMap<>();

        Node(int index) {
            this.index = index;
            name = name(index);
            rate = index < schedule.clocks().size() ? schedule.clocks().get(index) : 1;
            offset = chance.nextDouble(1e6);
            disk = index < setup.voters() ? new Planted.Store(plant) : null;
        }

        public ClusterMember member() {
            return member;
        }

        public VoterNode voter() {
            return voter;
        }

        public boolean up() {
            return up;
        }

        /** One call to a server below; it goes to another where it surely did not run. */
        private void call(int not) {
            int server = use.pick(clock(), not);
            if (server < 0) {
                setup.below().came(false);
                return;
            }
            CallOutcome how = setup.below().call(time.getAsDouble(), index, server);
            EndpointSelector same = use;
            in(how == CallOutcome.TIMED_OUT ? Servers.PATIENCE : chance.nextDouble(QUICKEST, SLOWEST), () -> {
                same.callEnded(clock(), server, how);
                member.dependencyCallEnded();
                if (how == CallOutcome.UNREACHABLE && not < 0 && same.tryAcquireRetry()) {
                    call(server);
                } else {
                    setup.below().came(how == CallOutcome.ANSWERED);
                }
            });
        }

        private void tellChanges() {
            for (String server : use.settings().endpoints()) {
                EndpointSelector.State is = use.state(server);
                if (stood.put(server, is) != is) {
                    happened(name + " has " + server + ' ' + is);
                }
            }
        }

        /** How the servers below stand for this one. */
        public EndpointSelector use() {
            return use;
        }

        private double clock() {
            return offset + time.getAsDouble() * rate;
        }

        /** Does it now if that life goes on, or when the stall is over. */
        private void run(int of, Runnable what) {
            if (life != of || !up) {
                return;
            }
            if (stalled) {
                backlog.add(() -> run(of, what));
            } else {
                what.run();
            }
        }

        private void in(double seconds, Runnable what) {
            int of = life;
            time.schedule(seconds / rate, () -> run(of, what));
        }

        void start() {
            if (up) {
                return;
            }
            if (nextVersion != null) {
                version = nextVersion;
                nextVersion = null;
            }
            if (loops > 0) {
                loops--;
                int of = life + 1;
                time.schedule(LOOP_FOR, () -> {
                    if (life == of && up) {
                        kill(LOOP_FOR, false);
                    }
                });
            }
            up = true;
            stalled = false;
            life++;
            done.clear();
            askers.clear();
            leaving = false;
            forRelease = false;
            if (setup.roll() != null) {
                serving = new Fleet.Serving(version, zone(), time.getAsDouble());
                meter = new ThroughputMeter(version);
            }
            outs.up(time.getAsDouble(), index);
            happened(name + " starts, life " + life);
            SplittableRandom own = chance.split();
            DoubleSupplier clock = this::clock;
            Scheduler timers = this::in;
            MemberSettings terms = terms();
            member = new ClusterMember(terms, Planted.holder(plant, new MemberIdentity(name, life)), timers, clock,
                    own.split(),
                    new MemberWorld());
            conductor = setup.roll() == null ? null
                    : new RolloutControllerNode(member.identity(), CONDUCTS, timers, clock,
                            () -> Math.round(time.getAsDouble() * 1000), member,
                            by -> Planted.conductor(plant, name, by));
            if (setup.below() != null) {
                use = setup.below().use(own.split());
                member.setDependencyPool(use);
            }
            member.open();
            member.setHealthy(true);
            if (disk != null) {
                LeaseStateMachine ledgerOfDuties = Planted.ledger(plant);
                DisruptionStateMachine ledgerOfOuts = Planted.outs(plant);
                ClusterState agreed =
                        new ClusterState(ledgerOfDuties, ledgerOfOuts, Planted.releases(plant, ledgerOfDuties,
                                ledgerOfOuts, released::add));
                voter = new VoterNode(terms, disk, timers, clock, own.split(), new VoterNode.Environment() {
                    @Override
                    public void sendMessage(String to, ClusterMessage what) {
                        if (to.equals(name) || member.membership().member(to) != null || askers.contains(to)) {
                            send(Node.this, to, member.withLeaderAddress(what));
                        }
                    }

                    @Override
                    public void failed(Throwable why) {
                        happened(name + " has no seat: " + why);
                    }
                }, agreed, Planted.leaseManager(plant, agreed.leases()),
                        Planted.permits(plant, agreed.disruptions(), 4 * setup.heartbeat()),
                        Planted.verdicts(plant, agreed.disruptions()));
                voter.open();
                look();
            }
        }

        private MemberSettings terms() {
            return new MemberSettings(name, name, zone(),
                    List.of(name(0), name(1 % nodes.length), name(2 % nodes.length)),
                    List.copyOf(voters), setup.heartbeat(), duties, true, setup.membership(), setup.budgets(),
                    old() ? OLD : NOW);
        }

        private String zone() {
            return setup.roll() == null || setup.roll().zones() < 2 ? "" : "zone-" + index % setup.roll().zones();
        }

        /** One that can't read releases: started anew as B it is of this program. */
        private boolean old() {
            return setup.roll() != null && version.equals("A") && setup.roll().old().contains(index);
        }

        /** The voter's sight of the members, as often as on sockets. */
        private void look() {
            voter.membersObserved(member.observations());
            in(0.25, this::look);
        }

        void heard(String from, ClusterMessage said) {
            if (old() && unreadable(said)) {
                return;
            }
            if (plant == Plant.GOES_WITHOUT_A_WORD && said instanceof ClusterMessage.ShutdownPermission m) {
                member.handle(from, new ClusterMessage.ShutdownApproval(m.token(), ""));
                return;
            }
            if (said instanceof ClusterMessage.LeasePoll) {
                askers.add(from);
            }
            ClusterMessage what = plant == Plant.TRUSTS_OLD_ANSWERS ? Planted.asOfNow(said, voter) : said;
            if (voter != null && (what instanceof ClusterMessage.Consensus || what instanceof ClusterMessage.LeasePoll
                    || what instanceof ClusterMessage.JoinRequest || what instanceof ClusterMessage.JoinConfirmation
                    || what instanceof ClusterMessage.ShutdownRequest || what instanceof ClusterMessage.LeaveNotice
                    || what instanceof ClusterMessage.RolloutProposal)) {
                voter.handle(from, what);
            } else if (what instanceof ClusterMessage.LeasePoll) {
                send(this, from, member.leaderHint());
            } else {
                member.handle(from, what);
            }
        }

        public void kill(double until, boolean wiped) {
            if (!up) {
                return;
            }
            happened(name + " is killed" + (wiped ? ", its folder lost" : ""));
            up = false;
            life++;
            outs.down(time.getAsDouble(), index);
            backlog.clear();
            lastTo.clear();
            if (disk != null) {
                disk.crash();
                if (wiped) {
                    disk.wipe();
                }
            }
            time.schedule(until, this::start);
        }

        /** Its answer is on its way by then, and its vote is kept. */
        void killAtVote(double within) {
            double until = time.getAsDouble() + within;
            if (disk != null) {
                disk.onVote(() -> {
                    disk.onVote(() -> {});
                    if (time.getAsDouble() <= until) {
                        int of = life;
                        time.schedule(0.1 * QUICKEST, () -> {
                            if (life == of) {
                                happened(name + " has voted");
                                kill(SLOWEST, false);
                            }
                        });
                    }
                });
            }
        }

        void stall() {
            stalled = true;
        }

        void resume() {
            if (stalled) {
                stalled = false;
                List<Runnable> late = List.copyOf(backlog);
                backlog.clear();
                late.forEach(Runnable::run);
            }
        }

        /** As bytes that an older program refuses whole. */
        private static boolean unreadable(ClusterMessage what) {
            return what instanceof ClusterMessage.RolloutProposal || what instanceof ClusterMessage.RolloutState
                    || what instanceof ClusterMessage.Consensus c && (c.message()instanceof AppendEntriesRequest a
                            && a.getLogEntries().stream().anyMatch(e -> e.getOperation() instanceof RolloutCommand)
                            || c.message() instanceof InstallSnapshotRequest);
        }

        public void leave(double until) {
            if (!up) {
                return;
            }
            happened(name + " leaves");
            leaving = true;
            int of = life;
            in(0, () -> {
                member.startShutdown();
                waitForClear(of, until, 40);
            });
        }

        private void waitForClear(int of, double until, int tries) {
            if (member.isIdle() || tries == 0) {
                member.close();
                kill(until, false);
            } else {
                in(0.05, () -> waitForClear(of, until, tries - 1));
            }
        }

        /** What a duty does: look, then touch the service, over and over. */
        private void work(String duty, long token, double lookedAt, OptionalLong believed) {
            if (done.contains(duty + token)) {
                return;
            }
            OptionalLong may = plant == Plant.BELIEVES_AFTER_A_PAUSE && clock() - lookedAt < setup.lease() / 2
                    ? believed : member.fencingToken(duty);
            if (may.isEmpty() || may.getAsLong() != token) {
                end(duty, token);
                return;
            }
            boolean looked = plant != Plant.BELIEVES_AFTER_A_PAUSE || clock() - lookedAt >= setup.lease() / 2;
            looks.look(time.getAsDouble(), duty, token, name + '#' + life);
            in(GAP * chance.nextDouble(), () -> touch(duty, token));
            in(EFFECTS_EVERY, () -> work(duty, token, looked ? clock() : lookedAt, may));
        }

        /** Nothing is done under that token any more, and the member is told so. */
        private void end(String duty, long token) {
            done.add(duty + token);
            member.taskStopped(duty, token, null);
        }

        private void touch(String duty, long token) {
            String holder = name + '#' + life;
            time.schedule(chance.nextDouble(QUICKEST, SLOWEST),
                    () -> ledger.effect(time.getAsDouble(), duty, token, holder));
        }

        private final class MemberWorld implements ClusterMember.Environment {
            @Override
            public void shutdownApproved(long token, String version) {
                outs.agreed(time.getAsDouble(), index);
                happened(name + '#' + life + " goes out as agreed under " + token + " to be " + version);
                if (setup.roll() == null || version.isEmpty()) {
                    leave(AGREED_OUT);
                    return;
                }
                check(version);
                startAgain(version);
            }

            /** What no release may do, whoever conducts it. */
            private void check(String as) {
                double now = time.getAsDouble();
                if (as.equals(Node.this.version)) {
                    released.add(String.format(Locale.ROOT, "%.3f s: %s goes out to be %s, which it is", now, name,
                            as));
                }
                Rollout agreed = release();
                if (now - haltedSince > AFTER_HALT && agreed.phase() == Rollout.Phase.HALTED) {
                    released.add(String.format(Locale.ROOT, "%.3f s: %s goes out %.1f s behind a halt", now, name,
                            now - haltedSince));
                }
                for (Node o : nodes) {
                    // Whom a signal takes meanwhile goes at once, whatever was agreed.
                    if (o != Node.this && disk != null && o.disk != null && o.forRelease && o.up) {
                        released.add(String.format(Locale.ROOT, "%.3f s: the voters %s and %s go together", now, name,
                                o.name));
                    }
                }
            }

            private void startAgain(String as) {
                Supervisor.Does does = setup.roll().supervisor().next(chance);
                double away = setup.roll().down() + (does == Supervisor.Does.LATE ? LATE
                        : does == Supervisor.Does.NEVER ? NEVER : 0);
                happened(name + " is started again: " + does);
                forRelease = true;
                leave(away);
                // In force from its next start; one that stands in the way of that is as it was.
                nextVersion = does == Supervisor.Does.WRONG ? Node.this.version : as;
                loops = does == Supervisor.Does.LOOPS ? LOOPS : 0;
            }

            @Override
            public void rolloutStateReceived(ClusterMessage.RolloutState what) {
                if (conductor != null) {
                    conductor.handleResponse(what);
                }
            }

            @Override
            public void sendMessage(String to, String address, ClusterMessage what) {
                // Whose address is not known can't be spoken to, as on sockets.
                if (address != null || to.equals(name) || askers.contains(to)) {
                    send(Node.this, to.isEmpty() ? address : to, what);
                }
            }

            @Override
            public void startTask(String duty, long token) {
                happened(name + '#' + life + " takes " + duty + " under " + token);
                if (duty.equals(CONDUCTS)) {
                    conductor.start(token, () -> {
                        OptionalLong may = member.fencingToken(duty);
                        return may.isPresent() && may.getAsLong() == token ? may : OptionalLong.empty();
                    });
                    return;
                }
                work(duty, token, clock(), OptionalLong.of(token));
            }

            @Override
            public void stopTask(String duty, long token, double within) {
                happened(name + '#' + life + " stops " + duty + " under " + token);
                if (duty.equals(CONDUCTS)) {
                    conductor.stop();
                    in(0, () -> member.taskStopped(duty, token, null));
                    return;
                }
                if (plant == Plant.SAYS_STOPPED_TOO_SOON) {
                    goOn(duty, token, 10);
                }
                // Some come to their end at once, and some need more time than there is.
                in(chance.nextBoolean() ? 0.05 * chance.nextDouble() : 1.2 * within * chance.nextDouble(),
                        () -> end(duty, token));
            }

            private void goOn(String duty, long token, int times) {
                looks.look(time.getAsDouble(), duty, token, name + '#' + life);
                if (times > 0) {
                    in(EFFECTS_EVERY, () -> goOn(duty, token, times - 1));
                }
            }
        }
    }
}
