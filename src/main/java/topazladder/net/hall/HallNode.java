package topazladder.net.hall;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.below.Use;
import topazladder.config.ClusterSettings;
import topazladder.config.ExtensionSettings;
import topazladder.config.InvalidSettingsException;
import topazladder.config.ServiceSettings;
import topazladder.config.ServiceSettings.Address;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.ThroughputMeter;
import topazladder.hall.ConductorNode;
import topazladder.hall.HallTerms;
import topazladder.hall.MemberNode;
import topazladder.hall.Saying;
import topazladder.hall.Saying.Command;
import topazladder.hall.VoterNode;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseHolder;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseState;
import topazladder.lease.LeasedTask;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Membership;
import topazladder.membership.Standing;
import topazladder.net.DependencyEndpointChoice;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;
import topazladder.release.Conductor;
import topazladder.replication.ClusterReplica;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.DependencyCircuitBreaker;
import topazladder.service.InstanceExtension;
import topazladder.service.InstanceLifecycle.Phase;
import topazladder.service.Scheduler;

/**
 * A member of a hall on sockets: who is there and what it holds on the event loop, its vote on a thread of its own.
 * Requests know nothing of it: with the group gone, the instance serves as it would without.
 */
public final class HallNode implements InstanceExtension {
    private static final Logger LOG = LoggerFactory.getLogger(HallNode.class);
    private static final long WELL_MS = 200;
    private static final long LOOK_MS = 250;
    private static final double AGAIN_AFTER = 2;
    /** Members that are told at once of what was found; each that learns something new tells as many. */
    private static final int TELLS = 6;
    /** Seconds for which an operator's command waits for the leader. */
    private static final double COMMAND_WAIT = 5;
    private static final int MOST_COMMANDS = 64;
    private static final int MOST_ASKERS = 1024;
    /** Before the name of a server below, where a command is about one. */
    private static final String BELOW = "below ";

    private final Vertx vertx;
    private final Context loop;
    private final ClusterSettings settings;
    private final Supplier<Phase> phase;
    private final Counters counters;
    private final DependencyCircuitBreaker reach;
    private final DoubleConsumer drain;
    private final Supplier<ThroughputMeter.Totals> counted;
    private final ThroughputMeter meter;
    private final String name;
    private final HallClock clock;
    private final MemberNode member;
    private final LinkTraffic traffic = new LinkTraffic();
    private final HallLinks links;
    private final HallDoor door;
    private final Map<String, LeasedTask> works = new LinkedHashMap<>();
    private final Map<Long, HallDoor.Back> commands = new HashMap<>(); // bounded, each for a few seconds
    /**
     * Where they hear who have asked and may not be known otherwise yet: a hall that joins asks before it is told of.
     */
    private final Map<String, String> askers = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MOST_ASKERS;
        }
    };
    private final SplittableRandom chance;
    private final GroupThread thread;
    private final HallTerms hall;
    private final Use use; // null where the index has one address
    private ConductorNode conductor; // null where no duty conducts
    private VoterNode voter; // of the group's thread alone; null until its folder is open
    private Map<String, Address> routes;
    private long lastCommand;
    private long lastFoundToken;
    private double lastFoundAt = Double.NEGATIVE_INFINITY;
    private boolean lastFoundWell;
    private final List<Long> timers = new ArrayList<>(); // those that repeat until it is closed
    private boolean leaving;

    /**
     * @param keys by which members know each other
     * @param phase of the instance
     * @param drain has the instance drain and end as the hall has agreed, that many seconds after it said so
     * @param counted what it has served so far
     * @param queue the link to a queue by its broker and name, for the duty to consume it
     * @param index where the service below is now
     */
    public HallNode(Vertx vertx, ServiceSettings terms, ExtensionSettings own, Supplier<Phase> phase, Counters counters,
            Supplier<List<byte[]>> keys, DoubleConsumer drain, Supplier<ThroughputMeter.Totals> counted,
            Function<ClusterSettings.Consume, LeasedTask> queue, Supplier<Address> index,
            DependencyCircuitBreaker reach) {
        this.vertx = vertx;
        this.phase = phase;
        this.counters = counters;
        this.reach = reach;
        this.drain = drain;
        this.counted = counted;
        loop = vertx.getOrCreateContext();
        settings = own.cluster();
        meter = new ThroughputMeter(settings.version());
        routes = settings.routes();
        name = terms.name();
        // Grows from process to process of the name; a time of day that was set back costs until it is made up for.
        long life = System.currentTimeMillis() << 16 | ProcessHandle.current().pid() & 0xffff;
        chance = new SplittableRandom(terms.seed() ^ life);
        clock = new HallClock(HallNode::monotonic, () -> System.currentTimeMillis() / 1e3, settings.clockRate());
        MemberIdentity here = new MemberIdentity(name, life);
        Scheduler clockTimers = (seconds, what) -> vertx.setTimer(Math.max(1,
                (long) Math.ceil(seconds / settings.clockRate() * 1000)), id -> what.run());
        hall = terms(name, own);
        member = new MemberNode(hall, new LeaseHolder(here), clockTimers, clock, chance.split(), new World());
        links = new HallLinks(vertx, new Greetings.Who(name, life), keys, (from, what) -> {}, traffic);
        door = new HallDoor(vertx, this::heard, () -> counters.add(Count.MEMBERS_REJECTED), traffic);
        for (ClusterSettings.Lease d : settings.leases()) {
            works.put(d.name(), work(d, here, queue, index));
        }
        use = settings.dependencyPool() == null ? null
                : new Use(new Use.Terms(settings.dependencyPool().servers().stream()
                        .map(ClusterSettings.DependencyPool.Server::name).toList(),
                        settings.dependencyPool().maxLocallyEjectedShare()), chance.split());
        member.below(use);
        if (hall.votes()) {
            if (settings.dataFolder() == null) {
                throw new InvalidSettingsException("hall.folder is missing, and this member votes");
            }
            thread = new GroupThread(name, settings.clockRate());
        } else {
            thread = null;
        }
    }

    /** The least of the heap that was held since the last time it was nearly full tells what lives; this is near. */
    private static double megabytes() {
        Runtime r = Runtime.getRuntime();
        return (r.totalMemory() - r.freeMemory()) / 1048576.0;
    }

    static double monotonic() {
        return System.nanoTime() / 1e9;
    }

    static HallTerms terms(String name, ExtensionSettings own) {
        ClusterSettings s = own.cluster();
        return new HallTerms(name, text(s.advertisedAddress()), own.zone(),
                s.seeds().stream().map(HallNode::text).toList(),
                s.voters(), s.heartbeatSeconds(),
                s.leases().stream().map(d -> new LeaseSettings(d.name(), d.durationSeconds(),
                        d.maxConsecutiveLosses())).toList(),
                !s.ineligibleForLeases(), new Membership.Terms(s.probePeriodSeconds(), 3, 3600),
                s.disruptionBudgets(), HallMessages.SCHEMA);
    }

    private static String text(Address a) {
        return a.host() + ":" + a.port();
    }

    /** On the group's thread. A folder that can't be opened costs a vote, and no request: it is tried again. */
    private void openVoter() {
        try {
            voter = voter(new SqliteVoterStore(settings.dataFolder()));
            voter.open();
        } catch (IOException | RuntimeException | LinkageError e) {
            // The last where the store's own library can't be loaded, as from a disk that fails.
            voter = null;
            LOG.error("{} does not vote for now: {}", name, e.toString());
            thread.schedule(AGAIN_AFTER, this::openVoter);
        }
    }

    private VoterNode voter(SqliteVoterStore store) {
        DoubleSupplier groupClock = () -> monotonic() * settings.clockRate();
        return new VoterNode(hall, store, thread, groupClock, chance.split(), new VoterNode.World() {
            @Override
            public void say(String to, Saying what) {
                loop.runOnContext(v -> HallNode.this.say(to, null, member.located(what)));
            }

            @Override
            public void failed(Throwable why) {
                LOG.error("{} does not vote for now: {}", name, why.toString());
                loop.runOnContext(v -> counters.add(Count.REPLICAS_FAILED));
            }
        });
    }

    private LeasedTask work(ClusterSettings.Lease d, MemberIdentity here,
            Function<ClusterSettings.Consume, LeasedTask> queue,
            Supplier<Address> index) {
        if (d.task()instanceof ClusterSettings.Touch t) {
            return new TouchWork(vertx, d.name(), here.toString(), t);
        } else if (d.task()instanceof ClusterSettings.Probe p) {
            return new ProbeWork(vertx, index, p, (well, token) -> found(new Saying.Found("index", well, 0, token)));
        }
        if (d.task() instanceof ClusterSettings.ConductRollouts) {
            conductor = new ConductorNode(here, d.name(), (s, what) -> vertx.setTimer(Math.max(1, Math.round(s * 1000)),
                    id -> what.run()), clock, System::currentTimeMillis, member, by -> new Conductor(name, by));
            return new ConductWork(conductor);
        }
        return queue.apply((ClusterSettings.Consume) d.task());
    }

    /** On the group's thread. */
    private void withVoter(java.util.function.Consumer<VoterNode> what) {
        if (voter != null) {
            what.accept(voter);
        }
    }

    /** What is decided here; of the event loop alone. */
    public MemberNode member() {
        return member;
    }

    /** The servers of the index to choose from; null where the settings name none. */
    public DependencyEndpointChoice choice() {
        return use == null ? null : new PoolChoice(settings.dependencyPool(), use, clock, member::noticed);
    }

    /** What the links between members have cost this one. */
    public LinkTraffic.Totals traffic() {
        return traffic.totals();
    }

    /** In words, for whoever looks into one that is not answered. */
    public String told() {
        return name + " at " + hall.address() + ": leader " + member.leader() + ", there " + member.there().size()
                + ", " + member.holder().describeRequests() + ", links " + links;
    }

    // ---- Part

    @Override
    public void open() {
        member.open();
        repeat(WELL_MS, () -> member.well(phase.get() == Phase.SERVING && !leaving));
        repeat(LOOK_MS, () -> member.serving(meter.measure(monotonic(), counted.get(), megabytes())));
        if (thread != null) {
            thread.execute(this::openVoter);
            repeat(LOOK_MS, () -> {
                Map<DisruptionTarget, DisruptionController.Observation> looks = member.looks();
                thread.execute(() -> withVoter(v -> v.seen(looks)));
            });
        }
    }

    private void repeat(long everyMs, Runnable what) {
        timers.add(vertx.setPeriodic(1, everyMs, id -> what.run()));
    }

    @Override
    public void reload(ExtensionSettings other) {
        if (other.cluster() == null) {
            LOG.warn("the hall can't be left without a restart");
            return;
        }
        routes = other.cluster().routes();
        if (!other.cluster().leases().equals(settings.leases())) {
            LOG.warn("other duties need a restart of this member");
        }
        HallTerms next = terms(name, other);
        member.replace(next);
        if (thread == null && next.votes()) {
            LOG.warn("this member votes once it was restarted");
        }
        if (thread != null) {
            thread.execute(() -> withVoter(v -> v.replace(next)));
        }
    }

    @Override
    public void startShutdown() {
        leaving = true;
        member.leave();
    }

    @Override
    public int pendingWork() {
        return member.clear() ? 0 : 1;
    }

    /**
     * Ends without a word to anybody, as a crash does; for harnesses that run many members in one process. Not for
     * one that votes.
     */
    public void abort() {
        timers.forEach(vertx::cancelTimer);
        links.close();
        door.close();
        member.close();
    }

    @Override
    public void close(Runnable done) {
        timers.forEach(vertx::cancelTimer);
        member.close();
        Runnable end = () -> {
            links.close();
            door.close();
            done.run();
        };
        if (thread == null) {
            end.run();
            return;
        }
        // The last words need a moment on the wire, and a disk that hangs must not hold the exit up.
        boolean[] once = new boolean[1];
        Runnable ended = () -> loop.runOnContext(v -> {
            if (!once[0]) {
                once[0] = true;
                thread.end();
                end.run();
            }
        });
        thread.execute(() -> {
            if (voter == null) {
                ended.run();
            } else {
                voter.close(ended);
            }
        });
        vertx.setTimer(300, id -> ended.run());
    }

    /** A connection on which a member greeted rightly. */
    public void take(NetSocket socket, PeerFrames.Seal seal, byte[] greeting, PeerFrames.Reader reader)
            throws MalformedMessageException {
        counters.add(Count.MEMBERS_CONNECTED);
        door.take(socket, seal, greeting, reader);
    }

    // ---- what is said

    private void say(String to, String address, Saying what) {
        if (name.equals(to)) {
            loop.runOnContext(v -> heard(name, what, null));
            return;
        }
        Address at = routes.get(to);
        if (at == null) {
            Standing s = to.isEmpty() ? null : member.membership().other(to);
            String text = s != null ? s.address() : address != null ? address : askers.get(to);
            if (text == null) {
                return; // not known yet: who is there is found out by other means
            }
            try {
                at = Address.of("address", text);
            } catch (InvalidSettingsException e) {
                return;
            }
        }
        counters.add(Count.MEMBER_MESSAGES_SENT);
        links.say(at, what);
    }

    private void heard(String from, Saying what, HallDoor.Back back) {
        counters.add(Count.MEMBER_MESSAGES_RECEIVED);
        if (what instanceof Saying.Asking a && !a.address().isEmpty()) {
            askers.put(from, a.address());
        }
        if (what instanceof Saying.Consensus || what instanceof Saying.Asking || what instanceof Saying.AsksToVote
                || what instanceof Saying.TakenIn || what instanceof Saying.Going || what instanceof Saying.Leaving
                || what instanceof Saying.Conduct) {
            if (thread != null) {
                thread.execute(() -> withVoter(v -> v.heard(from, what)));
            } else if (what instanceof Saying.Asking) {
                say(from, null, member.elsewhere());
            }
        } else if (what instanceof Saying.Order o) {
            order(from, o, back);
        } else if (what instanceof Saying.Told t) {
            HallDoor.Back waiting = commands.remove(t.number());
            if (waiting != null) {
                waiting.tell(t);
            }
        } else if (what instanceof Saying.Found f) {
            found(f);
        } else {
            member.heard(from, what);
        }
    }

    /** Told on to a few where it is news here, so that it reaches all without one telling each. */
    private void found(Saying.Found f) {
        double now = clock.getAsDouble();
        double at = now - f.age();
        boolean news = f.token() > lastFoundToken || f.token() == lastFoundToken && at > lastFoundAt + 0.1;
        if (!news) {
            return;
        }
        if (f.well() != lastFoundWell || lastFoundAt == Double.NEGATIVE_INFINITY) {
            LOG.info("{}: {} is {} by token {}", name, f.subject(), f.well() ? "reached" : "not reached", f.token());
        }
        lastFoundToken = f.token();
        lastFoundAt = at;
        lastFoundWell = f.well();
        if (reach != null) {
            reach.onProbeResult(now, f.well(), f.age(), f.token());
        }
        List<String> others = new ArrayList<>(member.there());
        others.remove(name);
        for (int i = 0; i < TELLS && !others.isEmpty(); i++) {
            say(others.remove(chance.nextInt(others.size())), null, f);
        }
    }

    // ---- operators

    private void order(String from, Saying.Order o, HallDoor.Back back) {
        HallDoor.Back answer = Greetings.OPERATOR.equals(from) ? back : what -> say(from, null, what);
        if (o.command().kind() == Command.Kind.STATUS) {
            status(json -> answer.tell(new Saying.Told(o.number(), true, json.encode())));
            return;
        }
        if (thread == null) {
            forward(o, answer, member.leader());
            return;
        }
        thread.execute(() -> {
            ClusterReplica replica = voter == null ? null : voter.replica();
            if (replica == null || !replica.leading()) {
                VoterEndpoint leader = replica == null ? null : replica.leader();
                loop.runOnContext(v -> forward(o, answer, leader == null ? member.leader() : leader.name()));
                return;
            }
            lead(replica, o, text -> loop.runOnContext(v -> answer.tell(text)));
        });
    }

    /** On the group's thread, at the leader. */
    private void lead(ClusterReplica replica, Saying.Order o, java.util.function.Consumer<Saying.Told> then) {
        Command c = o.command();
        if (c.kind() == Command.Kind.DUTIES) {
            then.accept(new Saying.Told(o.number(), true, duties(replica).encode()));
            return;
        }
        if (c.kind() == Command.Kind.OUTS) {
            then.accept(new Saying.Told(o.number(), true, outs(replica).put("below", new JsonObject(new LinkedHashMap<>(
                    voter.verdicts().looks()))).encode()));
            return;
        }
        if (c.kind().ordinal() >= Command.Kind.RELEASE_START.ordinal()) {
            new ReleaseOrders(replica, voter.doing()).take(c, System.currentTimeMillis(),
                    (done, text) -> then.accept(new Saying.Told(o.number(), done, text)));
            return;
        }
        if (c.kind().ordinal() > Command.Kind.OUTS.ordinal()) {
            boolean below = c.text().startsWith(BELOW);
            DisruptionTarget s =
                    below ? new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY, c.text().substring(BELOW.length()),
                            "")
                            : replica.disruptions().instance(c.text());
            Disruption out = replica.state().disruptions().get(s);
            boolean isOut = below && out != null && out.usesBudget();
            DisruptionCommand op = switch (c.kind()) {
                case DRAIN -> isOut ? new DisruptionCommand.KeepOut(s, "operator", "an operator")
                        : new DisruptionCommand.Request(s, Disruption.Reason.OPERATOR, "operator", "an operator");
                case UNDRAIN -> isOut ? new DisruptionCommand.Rejoin(s)
                        : new DisruptionCommand.Withdraw(s, out == null ? "" : out.requestId());
                case GIVE_UP -> new DisruptionCommand.GiveUp(s, "an operator");
                case HOLD_DRAINS -> new DisruptionCommand.SuspendGrants(
                        c.text().isEmpty() ? "by an operator" : c.text());
                default -> new DisruptionCommand.SuspendGrants(null);
            };
            if (op instanceof DisruptionCommand.Request && !replica.state().disruptions().capacities().containsKey(s)) {
                then.accept(new Saying.Told(o.number(), false, "there is no "
                        + (below ? c.text() + ", or nobody has called it yet" : "member " + c.text())));
                return;
            }
            replica.disruptions().propose(op, outcome -> then.accept(new Saying.Told(o.number(), outcome.isApplied(),
                    outcome.isApplied() ? "done" : outcome.rejection())));
            return;
        }
        LeaseCommand op = switch (c.kind()) {
            case HAND_OVER -> new LeaseCommand.Transfer(c.duty(), c.text());
            case HALT -> new LeaseCommand.Suspend(c.duty(), c.text().isEmpty() ? "by an operator" : c.text());
            case RESUME -> new LeaseCommand.Resume(c.duty());
            default -> throw new IllegalStateException("no command to the leader: " + c.kind());
        };
        replica.leases().propose(op, outcome -> then.accept(new Saying.Told(o.number(), outcome.isApplied(),
                outcome.isApplied() ? "done" : outcome.rejection())));
    }

    private static JsonObject outs(ClusterReplica replica) {
        JsonArray all = new JsonArray();
        for (Disruption o : replica.state().disruptions().disruptions()) {
            all.add(new JsonObject().put("name", o.target().toString()).put("zone", o.target().zone())
                    .put("why", o.reason().name()).put("phase", o.phase().name()).put("token", o.token())
                    .put("asked", o.requestOrder()).put("by", o.requestedBy())
                    .put("waits",
                            o.phase() == Disruption.Phase.ASKED
                                    ? replica.disruptions().controller().blockedReasons().get(o.target()) : null));
        }
        JsonArray budgets = new JsonArray();
        for (DisruptionBudget b : replica.state().disruptions().budgets()) {
            budgets.add(new JsonObject().put("name", b.name()).put("most", b.maxUnavailable())
                    .put("share", b.maxCapacityShare())
                    .put("zone", b.zone())
                    .put("out", replica.state().disruptions().targetsUsingBudget().stream().filter(b::covers).count()));
        }
        return new JsonObject().put("leader", replica.here().name())
                .put("halted", replica.state().disruptions().suspendedReason())
                .put("outs", all).put("budgets", budgets);
    }

    private static JsonObject duties(ClusterReplica replica) {
        JsonArray all = new JsonArray();
        for (LeaseState s : replica.state().leases().leases()) {
            all.add(new JsonObject().put("name", s.settings().name()).put("token", s.fencingToken())
                    .put("holder", s.holder() == null ? null : s.holder().name())
                    .put("lease", s.settings().durationSeconds()).put("halted", s.suspendedReason())
                    .put("wanted", s.preferredMember())
                    .put("losses", s.losses().size()));
        }
        return new JsonObject().put("leader", replica.here().name()).put("term", replica.term()).put("duties", all);
    }

    /**
     * To the leader, and its answer back; whoever knows no leader says so, and so does nobody in a minority do
     * anything.
     */
    private void forward(Saying.Order o, HallDoor.Back answer, String leader) {
        if (leader == null || leader.equals(name) || commands.size() >= MOST_COMMANDS) {
            answer.tell(new Saying.Told(o.number(), false, "no leader is known here; nothing was done"));
            return;
        }
        long number = ++lastCommand;
        commands.put(number, told -> answer.tell(told instanceof Saying.Told t
                ? new Saying.Told(o.number(), t.done(), t.text()) : told));
        say(leader, null, new Saying.Order(number, o.command()));
        vertx.setTimer(Math.round(COMMAND_WAIT * 1000), id -> {
            HallDoor.Back waiting = commands.remove(number);
            if (waiting != null) {
                waiting.tell(new Saying.Told(number, false, "the leader " + leader
                        + " did not answer; nobody knows whether it was done"));
            }
        });
    }

    private void status(java.util.function.Consumer<JsonObject> then) {
        JsonArray members = new JsonArray();
        for (Standing s : member.membership().others()) {
            members.add(new JsonObject().put("name", s.name()).put("state", s.state().name()).put("steady", s.steady())
                    .put("address", s.address()).put("hall", s.hall()));
        }
        Standing self = member.membership().self();
        members.add(new JsonObject().put("name", name).put("state", self.state().name()).put("steady", self.steady())
                .put("address", self.address()).put("hall", self.hall()));
        JsonObject holds = new JsonObject();
        member.holder().describeLeases(clock.getAsDouble()).forEach(holds::put);
        JsonObject json = new JsonObject().put("member", name).put("phase", phase.get().name())
                .put("unwell", member.membership().health()).put("members", members).put("holds", holds)
                .put("traffic", traffic.totals().json());
        if (use != null) {
            json.put("below", new JsonObject(new LinkedHashMap<>(use.told(clock.getAsDouble()))));
        }
        if (thread == null) {
            then.accept(json.put("leader", member.leader()));
            return;
        }
        thread.execute(() -> {
            ClusterReplica replica = voter == null ? null : voter.replica();
            JsonObject group = new JsonObject().put("vote", voter == null ? "NO_FOLDER" : voter.phase().name());
            if (replica != null) {
                JsonArray voting = new JsonArray();
                replica.voting().forEach(e -> voting.add(e.toString()));
                group.put("here", replica.here().toString()).put("voters", voting).put("term", replica.term())
                        .put("leading", replica.leading()).put("committed", replica.commitIndex())
                        .put("leader", replica.leader() == null ? null : replica.leader().name());
            }
            loop.runOnContext(v -> then.accept(json.put("group", group)));
        });
    }

    private final class World implements MemberNode.World {
        @Override
        public void say(String to, String address, Saying what) {
            HallNode.this.say(to, address, what);
        }

        @Override
        public void start(String duty, long token) {
            counters.add(Count.LEASES_ACQUIRED);
            LeasedTask work = works.get(duty);
            if (work == null) {
                member.stopped(duty, token, "this member's settings have no such duty");
                return;
            }
            work.start(token, () -> member.token(duty).stream().boxed().filter(t -> t == token)
                    .mapToLong(Long::longValue).findFirst(), why -> member.stopped(duty, token, why));
        }

        @Override
        public void stop(String duty, long token, double within) {
            counters.add(Count.LEASES_RELEASED);
            works.get(duty).stop(within, () -> loop.runOnContext(v -> member.stopped(duty, token, null)));
        }

        @Override
        public void drain(long token, String version) {
            if (version.isEmpty() || settings.nextVersionFile() == null) {
                drain.accept(settings.shutdownNoticeSeconds());
                return;
            }
            // Written before it goes, whole or not at all: whoever starts it again reads it then.
            vertx.executeBlocking(() -> {
                Path half =
                        settings.nextVersionFile().resolveSibling(settings.nextVersionFile().getFileName() + ".new");
                Files.writeString(half, version + "\n");
                return Files.move(half, settings.nextVersionFile(), StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            }).onFailure(e -> LOG.error("{} can't be told to come back as {}: {}", name, version, e.toString()))
                    .onComplete(done -> drain.accept(settings.shutdownNoticeSeconds()));
        }

        @Override
        public void conducted(Saying.Conducted what) {
            if (conductor != null) {
                conductor.shown(what);
            }
        }

        @Override
        public void changed(Standing now, Standing before) {
            if (now.state() == Standing.State.SUSPECTED) {
                counters.add(Count.MEMBERS_SUSPECTED);
            } else if (now.state() == Standing.State.GONE) {
                counters.add(Count.MEMBERS_GONE);
            }
        }
    }
}
