package topazladder.net.cluster;

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
import topazladder.cluster.ClusterMember;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.ClusterMessage.Command;
import topazladder.cluster.MemberSettings;
import topazladder.cluster.RolloutControllerNode;
import topazladder.cluster.VoterNode;
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
import topazladder.endpoint.EndpointSelector;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseHolder;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseState;
import topazladder.lease.LeasedTask;
import topazladder.lease.MemberIdentity;
import topazladder.membership.MemberStatus;
import topazladder.membership.Membership;
import topazladder.net.DependencyEndpointChoice;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.MalformedMessageException;
import topazladder.net.codec.PeerFrames;
import topazladder.replication.ClusterReplica;
import topazladder.rollout.RolloutController;
import topazladder.service.Counters;
import topazladder.service.Counters.Count;
import topazladder.service.DependencyCircuitBreaker;
import topazladder.service.InstanceExtension;
import topazladder.service.InstanceLifecycle.Phase;
import topazladder.service.Scheduler;

/**
 * A member of a cluster on real sockets. Membership and leases run on the event loop; the voter, if this member votes,
 * runs on a thread of its own. Requests do not depend on it: without the consensus group the instance serves as it
 * would without a cluster.
 */
public final class ClusterNode implements InstanceExtension {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterNode.class);
    private static final long HEALTH_INTERVAL_MS = 200;
    private static final long OBSERVATION_INTERVAL_MS = 250;
    private static final double STORE_REOPEN_DELAY_SECONDS = 2;
    /** Time for the last messages to leave, and for the voter to close its store, before the process goes on to end. */
    private static final long CLOSE_TIMEOUT_MS = 300;
    private static final int INDIRECT_PROBES = 3;
    private static final double GONE_MEMBER_MEMORY_SECONDS = 3600;
    /** Members to which a new probe result is sent; each of them passes it on to as many. */
    private static final int PROBE_RESULT_FANOUT = 6;
    /** A result under the same fencing token is new only where it is later than the last one by more than this. */
    private static final double PROBE_RESULT_MARGIN_SECONDS = 0.1;
    /** How long a forwarded operator's command waits for the leader's response. */
    private static final double COMMAND_TIMEOUT_SECONDS = 5;
    private static final int MAX_FORWARDED_COMMANDS = 64;
    private static final int MAX_POLLER_ADDRESSES = 1024;
    /** Stands before the name of a dependency endpoint in the text of an operator's command. */
    private static final String DEPENDENCY_PREFIX = "below ";

    private final Vertx vertx;
    private final Context loop;
    private final ClusterSettings settings;
    private final Supplier<Phase> phase;
    private final Counters counters;
    private final DependencyCircuitBreaker circuitBreaker;
    private final DoubleConsumer onShutdownApproved;
    private final Supplier<ThroughputMeter.Totals> throughputTotals;
    private final ThroughputMeter meter;
    private final String name;
    private final LeaseClock clock;
    private final ClusterMember member;
    private final LinkTraffic traffic = new LinkTraffic();
    private final OutboundLinks outboundLinks;
    private final InboundLinks inboundLinks;
    private final Map<String, LeasedTask> tasks = new LinkedHashMap<>(); // by lease
    private final Map<Long, InboundLinks.ReplyChannel> forwardedCommands = new HashMap<>(); // each until its timeout
    /**
     * Addresses of members that have polled this one, by name. A member may poll before its address has come here by
     * gossip: while a whole cluster starts, polls are faster.
     */
    private final Map<String, String> pollerAddresses = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_POLLER_ADDRESSES;
        }
    };
    private final SplittableRandom random;
    private final ConsensusThread consensusThread; // null where this member does not vote
    private final MemberSettings memberSettings;
    private final EndpointSelector dependencyPool; // null where the dependency has one address
    private RolloutControllerNode rolloutController; // null where no lease is for the rollout controller
    private VoterNode voter; // used on the consensus thread only; null until its store is open
    private Map<String, Address> routes;
    private long lastForwardedNumber;
    private long lastProbeToken;
    private double lastProbeAt = Double.NEGATIVE_INFINITY;
    private boolean lastProbeReachable;
    private final List<Long> periodicTimers = new ArrayList<>();
    private boolean leaving;

    /**
     * Creates a member that does nothing before {@link #open}.
     *
     * @param keys by which members authenticate each other, the one to sign with first
     * @param phase of the instance
     * @param onShutdownApproved shuts the instance down once the group has approved it; takes the seconds for which the
     *     instance is reported as not ready before it drains
     * @param throughputTotals what the instance has served since its start
     * @param queueConsumer makes the task that consumes a broker's queue
     * @param dependencyAddress where the dependency is now
     */
    public ClusterNode(Vertx vertx, ServiceSettings serviceSettings, ExtensionSettings extensionSettings,
            Supplier<Phase> phase, Counters counters, Supplier<List<byte[]>> keys, DoubleConsumer onShutdownApproved,
            Supplier<ThroughputMeter.Totals> throughputTotals,
            Function<ClusterSettings.Consume, LeasedTask> queueConsumer, Supplier<Address> dependencyAddress,
            DependencyCircuitBreaker circuitBreaker) {
        this.vertx = vertx;
        this.phase = phase;
        this.counters = counters;
        this.circuitBreaker = circuitBreaker;
        this.onShutdownApproved = onShutdownApproved;
        this.throughputTotals = throughputTotals;
        loop = vertx.getOrCreateContext();
        settings = extensionSettings.cluster();
        meter = new ThroughputMeter(settings.version());
        routes = settings.routes();
        name = serviceSettings.name();
        // Grows from one process of the name to the next. After the wall clock was set back, a restarted member is
        // taken for an old process until the clock has caught up.
        long incarnation = System.currentTimeMillis() << 16 | ProcessHandle.current().pid() & 0xffff;
        random = new SplittableRandom(serviceSettings.seed() ^ incarnation);
        clock = new LeaseClock(ClusterNode::monotonicSeconds, () -> System.currentTimeMillis() / 1e3,
                settings.clockRate());
        MemberIdentity identity = new MemberIdentity(name, incarnation);
        Scheduler clockTimers = (seconds, task) -> vertx.setTimer(Math.max(1,
                (long) Math.ceil(seconds / settings.clockRate() * 1000)), id -> task.run());
        memberSettings = memberSettings(name, extensionSettings);
        member = new ClusterMember(memberSettings, new LeaseHolder(identity), clockTimers, clock, random.split(),
                new MemberEnvironment());
        outboundLinks = new OutboundLinks(vertx, new GreetingCodec.Identity(name, incarnation), keys,
                (from, message) -> {}, traffic);
        inboundLinks =
                new InboundLinks(vertx, this::received, () -> counters.add(Count.MEMBERS_REJECTED), traffic);
        for (ClusterSettings.Lease lease : settings.leases()) {
            tasks.put(lease.name(), task(lease, identity, queueConsumer, dependencyAddress));
        }
        dependencyPool = settings.dependencyPool() == null ? null
                : new EndpointSelector(new EndpointSelector.Settings(settings.dependencyPool().servers().stream()
                        .map(ClusterSettings.DependencyPool.Server::name).toList(),
                        settings.dependencyPool().maxLocallyEjectedShare()), random.split());
        member.setDependencyPool(dependencyPool);
        if (memberSettings.isVoter()) {
            if (settings.dataFolder() == null) {
                throw new InvalidSettingsException(
                        "hall.folder is missing; hall.voters names " + name + ", and a voter keeps its store there");
            }
            consensusThread = new ConsensusThread(name, settings.clockRate());
        } else {
            consensusThread = null;
        }
    }

    /**
     * Used heap. It includes garbage; what is live is closest to the least value since the heap was last nearly full.
     */
    private static double usedHeapMegabytes() {
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / 1048576.0;
    }

    static double monotonicSeconds() {
        return System.nanoTime() / 1e9;
    }

    static MemberSettings memberSettings(String name, ExtensionSettings extensionSettings) {
        ClusterSettings cluster = extensionSettings.cluster();
        return new MemberSettings(name, hostPort(cluster.advertisedAddress()), extensionSettings.zone(),
                cluster.seeds().stream().map(ClusterNode::hostPort).toList(),
                cluster.voters(), cluster.heartbeatSeconds(),
                cluster.leases().stream().map(lease -> new LeaseSettings(lease.name(), lease.durationSeconds(),
                        lease.maxConsecutiveLosses())).toList(),
                !cluster.ineligibleForLeases(),
                new Membership.Settings(cluster.probePeriodSeconds(), INDIRECT_PROBES, GONE_MEMBER_MEMORY_SECONDS),
                cluster.disruptionBudgets(), HallMessages.SCHEMA);
    }

    private static String hostPort(Address address) {
        return address.host() + ":" + address.port();
    }

    /**
     * On the consensus thread. A store that can't be opened costs this member its vote, but no request fails by it, and
     * it is tried again.
     */
    private void openVoter() {
        try {
            voter = voter(new SqliteVoterStore(settings.dataFolder()));
            voter.open();
        } catch (IOException | RuntimeException | LinkageError e) {
            // A LinkageError comes where SQLite's native library can't be loaded, such as from a disk that fails.
            voter = null;
            LOG.error("voter store not opened member={} folder={} retry_s={} error={}", name, settings.dataFolder(),
                    STORE_REOPEN_DELAY_SECONDS, e.toString());
            consensusThread.schedule(STORE_REOPEN_DELAY_SECONDS, this::openVoter);
        }
    }

    private VoterNode voter(SqliteVoterStore store) {
        DoubleSupplier consensusClock = () -> monotonicSeconds() * settings.clockRate();
        return new VoterNode(memberSettings, store, consensusThread, consensusClock, random.split(),
                new VoterNode.Environment() {
                    @Override
                    public void sendMessage(String to, ClusterMessage message) {
                        loop.runOnContext(v -> ClusterNode.this.send(to, null, member.withLeaderAddress(message)));
                    }

                    @Override
                    public void failed(Throwable cause) {
                        LOG.error("voter failed member={} error={}", name, cause.toString());
                        loop.runOnContext(v -> counters.add(Count.REPLICAS_FAILED));
                    }
                });
    }

    private LeasedTask task(ClusterSettings.Lease lease, MemberIdentity identity,
            Function<ClusterSettings.Consume, LeasedTask> queueConsumer, Supplier<Address> dependencyAddress) {
        if (lease.task()instanceof ClusterSettings.Touch touch) {
            return new TouchTask(vertx, lease.name(), identity.toString(), touch);
        } else if (lease.task()instanceof ClusterSettings.Probe probe) {
            return new ProbeTask(vertx, dependencyAddress, probe,
                    (reachable, token) -> probeResult(new ClusterMessage.ProbeResult("index", reachable, 0, token)));
        }
        if (lease.task() instanceof ClusterSettings.ConductRollouts) {
            rolloutController = new RolloutControllerNode(identity, lease.name(),
                    (seconds, task) -> vertx.setTimer(Math.max(1, Math.round(seconds * 1000)), id -> task.run()),
                    clock, System::currentTimeMillis, member, by -> new RolloutController(name, by));
            return new RolloutControllerTask(rolloutController);
        }
        return queueConsumer.apply((ClusterSettings.Consume) lease.task());
    }

    /** On the consensus thread; does nothing while the voter's store is not open. */
    private void withVoter(java.util.function.Consumer<VoterNode> action) {
        if (voter != null) {
            action.accept(voter);
        }
    }

    /** Membership and leases; to be used on the event loop only. */
    public ClusterMember member() {
        return member;
    }

    /** Chooses among the dependency's endpoints; null where the settings name none. */
    public DependencyEndpointChoice dependencyEndpointChoice() {
        return dependencyPool == null ? null
                : new PoolEndpointChoice(settings.dependencyPool(), dependencyPool, clock, member::dependencyCallEnded);
    }

    /** Traffic of this member's links to the others since its start. */
    public LinkTraffic.Totals traffic() {
        return traffic.totals();
    }

    /** This member's leader, polls and links in words, for diagnosing polls that are not answered. */
    public String describe() {
        return "member=" + name + " address=" + memberSettings.address() + " leader=" + member.leader() + " present="
                + member.presentMembers().size() + " polls: " + member.leaseHolder().describePolls() + " links:"
                + outboundLinks;
    }

    // ---- lifecycle

    @Override
    public void open() {
        member.open();
        repeat(HEALTH_INTERVAL_MS, () -> member.setHealthy(phase.get() == Phase.SERVING && !leaving));
        repeat(OBSERVATION_INTERVAL_MS, () -> member
                .setLoadReport(meter.measure(monotonicSeconds(), throughputTotals.get(), usedHeapMegabytes())));
        if (consensusThread != null) {
            consensusThread.execute(this::openVoter);
            repeat(OBSERVATION_INTERVAL_MS, () -> {
                Map<DisruptionTarget, DisruptionController.Observation> observations = member.observations();
                consensusThread.execute(() -> withVoter(v -> v.membersObserved(observations)));
            });
        }
    }

    private void repeat(long intervalMs, Runnable action) {
        periodicTimers.add(vertx.setPeriodic(1, intervalMs, id -> action.run()));
    }

    @Override
    public void reload(ExtensionSettings reloaded) {
        if (reloaded.cluster() == null) {
            LOG.warn("settings change not fully applied reason=needs-restart member={} setting=hall", name);
            return;
        }
        routes = reloaded.cluster().routes();
        if (!reloaded.cluster().leases().equals(settings.leases())) {
            LOG.warn("settings change not fully applied reason=needs-restart member={} setting=hall.duties", name);
        }
        MemberSettings newSettings = memberSettings(name, reloaded);
        member.replaceSettings(newSettings);
        if (consensusThread == null && newSettings.isVoter()) {
            LOG.warn("settings change not fully applied reason=needs-restart member={} setting=hall.voters", name);
        }
        if (consensusThread != null) {
            consensusThread.execute(() -> withVoter(v -> v.replaceSettings(newSettings)));
        }
    }

    @Override
    public void startShutdown() {
        leaving = true;
        member.startShutdown();
    }

    @Override
    public int pendingWork() {
        return member.isIdle() ? 0 : 1;
    }

    /**
     * Closes all links at once and tells nobody, as a crash would; for test harnesses that run many members in one
     * process. Not for a member that votes.
     */
    public void abort() {
        periodicTimers.forEach(vertx::cancelTimer);
        outboundLinks.close();
        inboundLinks.close();
        member.close();
    }

    @Override
    public void close(Runnable onClosed) {
        periodicTimers.forEach(vertx::cancelTimer);
        member.close();
        Runnable end = () -> {
            outboundLinks.close();
            inboundLinks.close();
            onClosed.run();
        };
        if (consensusThread == null) {
            end.run();
            return;
        }
        // Bounded in time: a disk that hangs must not keep the process from ending.
        boolean[] ended = new boolean[1];
        Runnable endOnce = () -> loop.runOnContext(v -> {
            if (!ended[0]) {
                ended[0] = true;
                consensusThread.end();
                end.run();
            }
        });
        consensusThread.execute(() -> {
            if (voter == null) {
                endOnce.run();
            } else {
                voter.close(endOnce);
            }
        });
        vertx.setTimer(CLOSE_TIMEOUT_MS, id -> endOnce.run());
    }

    /** Takes over a connection on which a member, or an operator's client, has sent an authenticated greeting. */
    public void acceptConnection(NetSocket socket, PeerFrames.Seal seal, byte[] greeting, PeerFrames.Reader reader)
            throws MalformedMessageException {
        counters.add(Count.MEMBERS_CONNECTED);
        inboundLinks.accept(socket, seal, greeting, reader);
    }

    // ---- messages

    private void send(String to, String knownAddress, ClusterMessage message) {
        if (name.equals(to)) {
            loop.runOnContext(v -> received(name, message, null));
            return;
        }
        Address address = routes.get(to);
        if (address == null) {
            MemberStatus standing = to.isEmpty() ? null : member.membership().member(to);
            String text = standing != null ? standing.address()
                    : knownAddress != null ? knownAddress : pollerAddresses.get(to);
            if (text == null) {
                return; // dropped: the address comes by gossip, and the sender repeats what matters
            }
            try {
                address = Address.of("address", text);
            } catch (InvalidSettingsException e) {
                return;
            }
        }
        counters.add(Count.MEMBER_MESSAGES_SENT);
        outboundLinks.send(address, message);
    }

    private void received(String from, ClusterMessage message, InboundLinks.ReplyChannel replyChannel) {
        counters.add(Count.MEMBER_MESSAGES_RECEIVED);
        if (message instanceof ClusterMessage.LeasePoll poll && !poll.address().isEmpty()) {
            pollerAddresses.put(from, poll.address());
        }
        if (message instanceof ClusterMessage.Consensus || message instanceof ClusterMessage.LeasePoll
                || message instanceof ClusterMessage.JoinRequest || message instanceof ClusterMessage.JoinConfirmation
                || message instanceof ClusterMessage.ShutdownRequest || message instanceof ClusterMessage.LeaveNotice
                || message instanceof ClusterMessage.RolloutProposal) {
            if (consensusThread != null) {
                consensusThread.execute(() -> withVoter(v -> v.handle(from, message)));
            } else if (message instanceof ClusterMessage.LeasePoll) {
                send(from, null, member.leaderHint());
            }
        } else if (message instanceof ClusterMessage.CommandRequest request) {
            handleCommand(from, request, replyChannel);
        } else if (message instanceof ClusterMessage.CommandResponse response) {
            InboundLinks.ReplyChannel operator = forwardedCommands.remove(response.requestId());
            if (operator != null) {
                operator.reply(response);
            }
        } else if (message instanceof ClusterMessage.ProbeResult result) {
            probeResult(result);
        } else {
            member.handle(from, message);
        }
    }

    /** Passes a new result on to a few members, so that it reaches all without one member sending to each. */
    private void probeResult(ClusterMessage.ProbeResult result) {
        double now = clock.getAsDouble();
        double probedAt = now - result.ageSeconds();
        boolean isNew = result.fencingToken() > lastProbeToken
                || result.fencingToken() == lastProbeToken && probedAt > lastProbeAt + PROBE_RESULT_MARGIN_SECONDS;
        if (!isNew) {
            return;
        }
        if (result.reachable() != lastProbeReachable || lastProbeAt == Double.NEGATIVE_INFINITY) {
            LOG.info("dependency reachability changed member={} dependency={} reachable={} token={}", name,
                    result.target(), result.reachable(), result.fencingToken());
        }
        lastProbeToken = result.fencingToken();
        lastProbeAt = probedAt;
        lastProbeReachable = result.reachable();
        if (circuitBreaker != null) {
            circuitBreaker.onProbeResult(now, result.reachable(), result.ageSeconds(), result.fencingToken());
        }
        List<String> others = new ArrayList<>(member.presentMembers());
        others.remove(name);
        for (int i = 0; i < PROBE_RESULT_FANOUT && !others.isEmpty(); i++) {
            send(others.remove(random.nextInt(others.size())), null, result);
        }
    }

    // ---- operators' commands

    private void handleCommand(String from, ClusterMessage.CommandRequest request,
            InboundLinks.ReplyChannel replyChannel) {
        InboundLinks.ReplyChannel sender =
                GreetingCodec.OPERATOR.equals(from) ? replyChannel : response -> send(from, null, response);
        if (request.command().kind() == Command.Kind.STATUS) {
            status(json -> sender.reply(new ClusterMessage.CommandResponse(request.requestId(), true, json.encode())));
            return;
        }
        if (consensusThread == null) {
            forward(request, sender, member.leader());
            return;
        }
        consensusThread.execute(() -> {
            ClusterReplica replica = voter == null ? null : voter.replica();
            if (replica == null || !replica.isLeader()) {
                VoterEndpoint leader = replica == null ? null : replica.leader();
                loop.runOnContext(v -> forward(request, sender, leader == null ? member.leader() : leader.name()));
                return;
            }
            runAtLeader(replica, request, response -> loop.runOnContext(v -> sender.reply(response)));
        });
    }

    /**
     * On the leader's consensus thread. The texts in the commands that it proposes are stored in the log.
     *
     * @param then receives the response
     */
    private void runAtLeader(ClusterReplica replica, ClusterMessage.CommandRequest request,
            java.util.function.Consumer<ClusterMessage.CommandResponse> then) {
        Command command = request.command();
        if (command.kind() == Command.Kind.DUTIES) {
            then.accept(new ClusterMessage.CommandResponse(request.requestId(), true, leases(replica).encode()));
            return;
        }
        if (command.kind() == Command.Kind.OUTS) {
            then.accept(new ClusterMessage.CommandResponse(request.requestId(), true, disruptions(replica).put("below",
                    new JsonObject(new LinkedHashMap<>(voter.verdicts().describeVotes()))).encode()));
            return;
        }
        if (command.kind().ordinal() >= Command.Kind.RELEASE_START.ordinal()) {
            new RolloutCommands(replica, voter.controllerActivity()).run(command, System.currentTimeMillis(),
                    (done, text) -> then.accept(new ClusterMessage.CommandResponse(request.requestId(), done, text)));
            return;
        }
        if (command.kind().ordinal() > Command.Kind.OUTS.ordinal()) {
            boolean isDependency = command.text().startsWith(DEPENDENCY_PREFIX);
            DisruptionTarget target = isDependency
                    ? new DisruptionTarget(DisruptionTarget.Kind.DEPENDENCY,
                            command.text().substring(DEPENDENCY_PREFIX.length()), "")
                    : replica.disruptions().instanceTarget(command.text());
            Disruption disruption = replica.state().disruptions().get(target);
            boolean isEjected = isDependency && disruption != null && disruption.usesBudget();
            DisruptionCommand proposal = switch (command.kind()) {
                case DRAIN -> isEjected ? new DisruptionCommand.KeepOut(target, "operator", "an operator")
                        : new DisruptionCommand.Request(target, Disruption.Reason.OPERATOR, "operator", "an operator");
                case UNDRAIN -> isEjected ? new DisruptionCommand.Rejoin(target)
                        : new DisruptionCommand.Withdraw(target, disruption == null ? "" : disruption.requestId());
                case GIVE_UP -> new DisruptionCommand.GiveUp(target, "an operator");
                case HOLD_DRAINS -> new DisruptionCommand.SuspendGrants(
                        command.text().isEmpty() ? "by an operator" : command.text());
                default -> new DisruptionCommand.SuspendGrants(null);
            };
            if (proposal instanceof DisruptionCommand.Request
                    && !replica.state().disruptions().capacities().containsKey(target)) {
                then.accept(new ClusterMessage.CommandResponse(request.requestId(), false,
                        "the leader knows no " + (isDependency
                                ? "dependency endpoint " + target.name() + ", or no instance has called it yet"
                                : "member " + target.name())));
                return;
            }
            replica.disruptions().propose(proposal,
                    outcome -> then.accept(new ClusterMessage.CommandResponse(request.requestId(),
                            outcome.isApplied(), outcome.isApplied() ? "done" : outcome.rejection())));
            return;
        }
        LeaseCommand proposal = switch (command.kind()) {
            case HAND_OVER -> new LeaseCommand.Transfer(command.leaseName(), command.text());
            case HALT -> new LeaseCommand.Suspend(command.leaseName(),
                    command.text().isEmpty() ? "by an operator" : command.text());
            case RESUME -> new LeaseCommand.Resume(command.leaseName());
            default -> throw new IllegalStateException("the leader does not run commands of kind " + command.kind());
        };
        replica.leases().propose(proposal,
                outcome -> then.accept(new ClusterMessage.CommandResponse(request.requestId(),
                        outcome.isApplied(), outcome.isApplied() ? "done" : outcome.rejection())));
    }

    private static JsonObject disruptions(ClusterReplica replica) {
        JsonArray disruptions = new JsonArray();
        for (Disruption d : replica.state().disruptions().disruptions()) {
            disruptions.add(new JsonObject().put("name", d.target().toString()).put("zone", d.target().zone())
                    .put("why", d.reason().name()).put("phase", d.phase().name()).put("token", d.token())
                    .put("asked", d.requestOrder()).put("by", d.requestedBy())
                    .put("waits", d.phase() == Disruption.Phase.ASKED
                            ? replica.disruptions().controller().blockedReasons().get(d.target()) : null));
        }
        JsonArray budgets = new JsonArray();
        for (DisruptionBudget b : replica.state().disruptions().budgets()) {
            budgets.add(new JsonObject().put("name", b.name()).put("most", b.maxUnavailable())
                    .put("share", b.maxCapacityShare()).put("zone", b.zone())
                    .put("out", replica.state().disruptions().targetsUsingBudget().stream().filter(b::covers).count()));
        }
        return new JsonObject().put("leader", replica.localEndpoint().name())
                .put("halted", replica.state().disruptions().suspendedReason())
                .put("outs", disruptions).put("budgets", budgets);
    }

    private static JsonObject leases(ClusterReplica replica) {
        JsonArray leases = new JsonArray();
        for (LeaseState lease : replica.state().leases().leases()) {
            leases.add(new JsonObject().put("name", lease.settings().name()).put("token", lease.fencingToken())
                    .put("holder", lease.holder() == null ? null : lease.holder().name())
                    .put("lease", lease.settings().durationSeconds()).put("halted", lease.suspendedReason())
                    .put("wanted", lease.preferredMember())
                    .put("losses", lease.losses().size()));
        }
        return new JsonObject().put("leader", replica.localEndpoint().name()).put("term", replica.term()).put("duties",
                leases);
    }

    /** Forwards a command to the leader, and the response back. Without a known leader the command is refused. */
    private void forward(ClusterMessage.CommandRequest request, InboundLinks.ReplyChannel sender, String leader) {
        if (leader == null || leader.equals(name) || forwardedCommands.size() >= MAX_FORWARDED_COMMANDS) {
            sender.reply(new ClusterMessage.CommandResponse(request.requestId(), false,
                    "member " + name + " knows no other member as leader"
                            + ", or has " + MAX_FORWARDED_COMMANDS
                            + " commands to forward; nothing was done, try again"));
            return;
        }
        long number = ++lastForwardedNumber;
        forwardedCommands.put(number, message -> sender.reply(message instanceof ClusterMessage.CommandResponse response
                ? new ClusterMessage.CommandResponse(request.requestId(), response.done(), response.text()) : message));
        send(leader, null, new ClusterMessage.CommandRequest(number, request.command()));
        vertx.setTimer(Math.round(COMMAND_TIMEOUT_SECONDS * 1000), id -> {
            InboundLinks.ReplyChannel operator = forwardedCommands.remove(number);
            if (operator != null) {
                operator.reply(new ClusterMessage.CommandResponse(number, false,
                        "the leader " + leader + " did not answer within "
                                + COMMAND_TIMEOUT_SECONDS + " s; it is not known whether the command was carried out"));
            }
        });
    }

    private void status(java.util.function.Consumer<JsonObject> then) {
        JsonArray members = new JsonArray();
        for (MemberStatus standing : member.membership().otherMembers()) {
            members.add(new JsonObject().put("name", standing.name()).put("state", standing.state().name())
                    .put("steady", standing.steady()).put("address", standing.address())
                    .put("hall", standing.zone()));
        }
        MemberStatus self = member.membership().self();
        members.add(new JsonObject().put("name", name).put("state", self.state().name()).put("steady", self.steady())
                .put("address", self.address()).put("hall", self.zone()));
        JsonObject held = new JsonObject();
        member.leaseHolder().describeLeases(clock.getAsDouble()).forEach(held::put);
        JsonObject json = new JsonObject().put("member", name).put("phase", phase.get().name())
                .put("unwell", member.membership().healthScore()).put("members", members).put("holds", held)
                .put("traffic", traffic.totals().toJson());
        if (dependencyPool != null) {
            json.put("below", new JsonObject(new LinkedHashMap<>(dependencyPool.describe(clock.getAsDouble()))));
        }
        if (consensusThread == null) {
            then.accept(json.put("leader", member.leader()));
            return;
        }
        consensusThread.execute(() -> {
            ClusterReplica replica = voter == null ? null : voter.replica();
            JsonObject group = new JsonObject().put("vote", voter == null ? "NO_FOLDER" : voter.phase().name());
            if (replica != null) {
                JsonArray voters = new JsonArray();
                replica.committedVoters().forEach(endpoint -> voters.add(endpoint.toString()));
                group.put("here", replica.localEndpoint().toString()).put("voters", voters).put("term", replica.term())
                        .put("leading", replica.isLeader()).put("committed", replica.commitIndex())
                        .put("leader", replica.leader() == null ? null : replica.leader().name());
            }
            loop.runOnContext(v -> then.accept(json.put("group", group)));
        });
    }

    /** Carries out on this process's sockets and tasks what the member decides. */
    private final class MemberEnvironment implements ClusterMember.Environment {
        @Override
        public void sendMessage(String to, String address, ClusterMessage message) {
            ClusterNode.this.send(to, address, message);
        }

        @Override
        public void startTask(String leaseName, long token) {
            counters.add(Count.LEASES_ACQUIRED);
            LeasedTask task = tasks.get(leaseName);
            if (task == null) {
                member.taskStopped(leaseName, token, "this member's settings have no such duty"); // sent to the leader
                return;
            }
            task.start(token, () -> member.fencingToken(leaseName).stream().boxed().filter(t -> t == token)
                    .mapToLong(Long::longValue).findFirst(), failure -> member.taskStopped(leaseName, token, failure));
        }

        @Override
        public void stopTask(String leaseName, long token, double withinSeconds) {
            counters.add(Count.LEASES_RELEASED);
            tasks.get(leaseName).stop(withinSeconds,
                    () -> loop.runOnContext(v -> member.taskStopped(leaseName, token, null)));
        }

        @Override
        public void shutdownApproved(long token, String version) {
            if (version.isEmpty() || settings.nextVersionFile() == null) {
                onShutdownApproved.accept(settings.shutdownNoticeSeconds());
                return;
            }
            // Written atomically before the shutdown starts: whoever restarts the instance reads it.
            vertx.executeBlocking(() -> {
                Path temporary =
                        settings.nextVersionFile().resolveSibling(settings.nextVersionFile().getFileName() + ".new");
                Files.writeString(temporary, version + "\n");
                return Files.move(temporary, settings.nextVersionFile(), StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            }).onFailure(e -> LOG.error("next version not written member={} version={} file={} error={}", name, version,
                    settings.nextVersionFile(), e.toString()))
                    .onComplete(written -> onShutdownApproved.accept(settings.shutdownNoticeSeconds()));
        }

        @Override
        public void rolloutStateReceived(ClusterMessage.RolloutState response) {
            if (rolloutController != null) {
                rolloutController.handleResponse(response);
            }
        }

        @Override
        public void standingChanged(MemberStatus now, MemberStatus before) {
            if (now.state() == MemberStatus.State.SUSPECTED) {
                counters.add(Count.MEMBERS_SUSPECTED);
            } else if (now.state() == MemberStatus.State.GONE) {
                counters.add(Count.MEMBERS_GONE);
            }
        }
    }
}
