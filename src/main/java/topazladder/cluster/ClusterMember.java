package topazladder.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.endpoint.EndpointSelector;
import topazladder.lease.LeaseHolder;
import topazladder.lease.MemberIdentity;
import topazladder.membership.MemberStatus;
import topazladder.membership.Membership;
import topazladder.service.Scheduler;

/**
 * A member of a cluster, without I/O: its membership protocol and the leases that it holds. No request that the
 * instance serves ever waits for the consensus group. All calls come on one thread.
 */
public final class ClusterMember {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterMember.class);
    /** A member is steady only once it has been healthy for this long. */
    private static final double STEADY_AFTER_SECONDS = 1;
    /** From this membership health score on a member is not steady: it would be the first to be suspected. */
    private static final int UNSTEADY_HEALTH_SCORE = 3;
    /** Least time between two early polls, whether after a leader hint or after a change at a dependency endpoint. */
    private static final double EARLY_POLL_INTERVAL_SECONDS = 0.2;
    private static final double LEAVE_NOTICE_INTERVAL_SECONDS = 0.3;

    /** What the member needs of its environment. */
    public interface Environment {

        /**
         * Sends a message to another member; it may be lost.
         *
         * @param to its name, or empty where only its address is known
         * @param address where it was last known to listen, or null
         */
        void sendMessage(String to, String address, ClusterMessage what);

        /** Starts a lease's task, which calls {@link ClusterMember#fencingToken} before each effect. */
        void startTask(String leaseName, long token);

        /** Stops a lease's task within so many seconds, and reports {@link ClusterMember#taskStopped}. */
        void stopTask(String leaseName, long token, double withinSeconds);

        /**
         * The group has agreed that this instance shuts down: it drains and ends, reports that by its own status, and
         * is to be restarted with that version; empty for the version that it runs.
         */
        default void shutdownApproved(long token, String version) {}

        /** The leader has sent the state of the rollout to the rollout controller here. */
        default void rolloutStateReceived(ClusterMessage.RolloutState what) {}

        /**
         * A member joined, left or changed.
         *
         * @param before null for a member that was not known
         */
        default void standingChanged(MemberStatus now, MemberStatus before) {}
    }

    private final MemberSettings settings;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final Environment environment;
    private final Membership membership;
    private final LeaseHolder leaseHolder;
    private final LeaderLocator leaderLocator;
    private double lastHintFollowedAt = Double.NEGATIVE_INFINITY;
    private ClusterMessage.LeaderHint lastLocatedHint; // the last hint that gave an address
    private int seedPolls;
    private boolean leaving;
    private boolean shutdownApproved;
    private boolean healthy;
    private double healthChangedAt;
    private boolean closed;
    private long timerGeneration;
    private LoadReport loadReport = LoadReport.EMPTY;
    private double lastResponseAt = Double.NEGATIVE_INFINITY;
    private EndpointSelector dependencyPool; // null where the dependency has one endpoint, or is not called at all
    private double lastDependencyPollAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a member that does nothing before {@link #open}.
     *
     * @param leaseHolder of the same member; tests pass one with an injected defect
     */
    public ClusterMember(MemberSettings settings, LeaseHolder leaseHolder, Scheduler timers, DoubleSupplier clock,
            RandomGenerator random, Environment environment) {
        this.settings = settings;
        this.leaseHolder = leaseHolder;
        this.timers = timers;
        this.clock = clock;
        this.environment = environment;
        membership = new Membership(settings.membership(), new MemberStatus(settings.name(), settings.address(),
                settings.zone(), leaseHolder.identity().incarnation(), 0, MemberStatus.State.ALIVE, false, ""), random);
        leaderLocator = new LeaderLocator(settings.voters(), random.nextInt(Integer.MAX_VALUE));
    }

    /** Joins the cluster through its seeds. */
    public void open() {
        applyMembershipSteps(membership.join(clock.getAsDouble(), settings.seeds()));
        scheduleTick();
    }

    public MemberIdentity identity() {
        return leaseHolder.identity();
    }

    public Membership membership() {
        return membership;
    }

    public LeaseHolder leaseHolder() {
        return leaseHolder;
    }

    /** Sets whether the instance serves as it should. A member that stays unhealthy hands its leases over. */
    public void setHealthy(boolean isHealthy) {
        if (isHealthy != healthy) {
            healthy = isHealthy;
            healthChangedAt = clock.getAsDouble();
        }
        updateEligibility();
    }

    /** The fencing token under which an effect may be made now; to be asked before each effect. */
    public OptionalLong fencingToken(String leaseName) {
        return leaseHolder.fencingToken(clock.getAsDouble(), leaseName);
    }

    /** A lease's task has stopped; {@code failure} says why it could not go on, or is null. */
    public void taskStopped(String leaseName, long token, String failure) {
        applyLeaseSteps(leaseHolder.taskStopped(clock.getAsDouble(), leaseName, token, failure));
        scheduleTick();
    }

    /** The process is shutting down: hands all leases over and tells the group. */
    public void startShutdown() {
        leaving = true;
        sendLeaveNotice();
        applyLeaseSteps(leaseHolder.shutDown(clock.getAsDouble()));
        scheduleTick();
    }

    /** Repeats the notice until the member closes. Best effort: unheard, the member is detected as lost later. */
    private void sendLeaveNotice() {
        if (!shutdownApproved && !closed && leaderLocator.target() != null) {
            environment.sendMessage(leaderLocator.target(), addressOf(leaderLocator.target()),
                    new ClusterMessage.LeaveNotice(identity(), "a signal"));
            timers.schedule(LEAVE_NOTICE_INTERVAL_SECONDS, this::sendLeaveNotice);
        }
    }

    /** Whether nothing is left to hand over. */
    public boolean isIdle() {
        return leaseHolder.isIdle() || settings.voters().isEmpty();
    }

    /** Tells the other members that this one leaves; nothing is sent or handled after that. */
    public void close() {
        if (!closed) {
            applyMembershipSteps(membership.leave(clock.getAsDouble()));
            closed = true;
        }
    }

    /**
     * Takes the voters of settings that were read anew. Going from no voters to some, or back, needs a restart and is
     * ignored.
     */
    public void replaceSettings(MemberSettings newSettings) {
        if (!newSettings.voters().isEmpty() && !settings.voters().isEmpty()) {
            leaderLocator.replaceVoters(newSettings.voters());
        }
    }

    /** Handles a message of another member, or of this process's own voter. */
    public void handle(String from, ClusterMessage message) {
        if (closed) {
            return;
        }
        double now = clock.getAsDouble();
        if (message instanceof ClusterMessage.MembershipGossip m) {
            applyMembershipSteps(membership.handleMessage(now, from, m.gossip()));
        } else if (message instanceof ClusterMessage.LeasePollResponse a) {
            leaderLocator.leaderConfirmed(from);
            lastResponseAt = now;
            applyLeaseSteps(leaseHolder.handleResponse(now, a.response()));
        } else if (message instanceof ClusterMessage.LeaderHint hint) {
            // Two voters that each name the other as leader must not be polled in turn as fast as the link allows.
            if (!hint.address().isEmpty()) {
                lastLocatedHint = hint;
            }
            if (leaderLocator.leaderHinted(from, hint.name())
                    && now - lastHintFollowedAt > EARLY_POLL_INTERVAL_SECONDS) {
                lastHintFollowedAt = now;
                applyLeaseSteps(leaseHolder.wakeUp(now));
            }
        } else if (message instanceof ClusterMessage.ShutdownPermission m && !leaving && !shutdownApproved) {
            environment.sendMessage(from, addressOf(from), new ClusterMessage.ShutdownRequest(identity(), m.token()));
        } else if (message instanceof ClusterMessage.ShutdownApproval g && !leaving && !shutdownApproved) {
            LOG.info("shutdown approved member={} token={} next_version={}", identity(), g.token(), g.version());
            shutdownApproved = true;
            environment.shutdownApproved(g.token(), g.version());
        } else if (message instanceof ClusterMessage.RolloutState c) {
            leaderLocator.leaderConfirmed(from);
            environment.rolloutStateReceived(c);
        } else if (message instanceof ClusterMessage.DependencyDecisions b) {
            if (dependencyPool != null) {
                dependencyPool.applyDirectives(now, b.term(), b.decisions());
            }
        } else if (message instanceof ClusterMessage.WakeUp) {
            leaderLocator.leaderConfirmed(from);
            applyLeaseSteps(leaseHolder.wakeUp(now));
        }
        scheduleTick();
    }

    private void updateEligibility() {
        double now = clock.getAsDouble();
        boolean steady = healthy && now - healthChangedAt >= STEADY_AFTER_SECONDS
                && membership.healthScore() < UNSTEADY_HEALTH_SCORE;
        membership.setSteady(steady);
        applyLeaseSteps(leaseHolder.setEligible(now,
                steady && settings.eligibleForLeases() && !settings.voters().isEmpty()));
    }

    /** Keeps one timer, for the earliest of what is due. */
    private void scheduleTick() {
        if (closed) {
            return;
        }
        double now = clock.getAsDouble();
        double delaySeconds = Math.min(membership.secondsUntilTick(now),
                settings.voters().isEmpty() ? Double.MAX_VALUE : leaseHolder.secondsUntilTick(now));
        long scheduled = ++timerGeneration;
        timers.schedule(Math.min(delaySeconds, STEADY_AFTER_SECONDS), () -> {
            if (scheduled == timerGeneration && !closed) {
                applyMembershipSteps(membership.tick(clock.getAsDouble()));
                updateEligibility();
                scheduleTick();
            }
        });
    }

    private void applyMembershipSteps(List<Membership.Step> steps) {
        for (Membership.Step step : steps) {
            if (step instanceof Membership.Step.Send s) {
                environment.sendMessage(s.to(), s.address(), new ClusterMessage.MembershipGossip(s.message()));
            } else if (step instanceof Membership.Step.StatusChanged c) {
                if (c.previous() == null || c.previous().state() != c.current().state()
                        || c.previous().processIncarnation() != c.current()
                                .processIncarnation()) {
                    LOG.info("member state changed observer={} member={} state={}", settings.name(), c.current().name(),
                            c.current().state());
                }
                environment.standingChanged(c.current(), c.previous());
            }
        }
    }

    private void applyLeaseSteps(List<LeaseHolder.Step> steps) {
        if (settings.voters().isEmpty()) {
            return;
        }
        for (LeaseHolder.Step step : steps) {
            if (step instanceof LeaseHolder.Step.Send s) {
                if (s.otherVoter()) {
                    leaderLocator.tryNextVoter();
                }
                String target = leaderLocator.target();
                ClusterMessage request =
                        new ClusterMessage.LeasePoll(s.request(), settings.address(), settings.messageSchema(),
                                loadReport,
                                dependencyPool == null ? List.of() : dependencyPool.reports(clock.getAsDouble()));
                if (addressOf(target) == null && !settings.seeds().isEmpty()) {
                    // Where the first messages to the voters were lost, a large cluster spreads their addresses only
                    // slowly; any seed passes on a hint of who leads.
                    environment.sendMessage("", settings.seeds().get(seedPolls++ % settings.seeds().size()), request);
                } else {
                    environment.sendMessage(target, addressOf(target), request);
                }
            } else if (step instanceof LeaseHolder.Step.Start s) {
                LOG.info("lease acquired holder={} lease={} token={}", identity(), s.leaseName(), s.fencingToken());
                environment.startTask(s.leaseName(), s.fencingToken());
            } else if (step instanceof LeaseHolder.Step.Stop s) {
                LOG.info("lease task stopping holder={} lease={} token={} reason={}", identity(), s.leaseName(),
                        s.fencingToken(), s.reason());
                environment.stopTask(s.leaseName(), s.fencingToken(), s.withinSeconds());
            }
        }
    }

    /** Who leads the group as far as this member was told; null where nobody has answered yet. */
    public String leader() {
        return leaderLocator.leader();
    }

    /** Sets the load report that goes with the next poll. */
    public void setLoadReport(LoadReport latest) {
        loadReport = latest;
    }

    /** Sets the dependency endpoints that this instance uses; its reports on them go with each poll. */
    public void setDependencyPool(EndpointSelector pool) {
        dependencyPool = pool;
    }

    /** A dependency call has ended: where it changes what is known of an endpoint, the leader is polled at once. */
    public void dependencyCallEnded() {
        double now = clock.getAsDouble();
        if (dependencyPool != null && now - lastDependencyPollAt > EARLY_POLL_INTERVAL_SECONDS
                && dependencyPool.hasNews(now) && !closed) {
            lastDependencyPollAt = now;
            applyLeaseSteps(leaseHolder.wakeUp(now));
            scheduleTick();
        }
    }

    /** Sends to the leader, or to the voter that is tried next while no leader is known. */
    public void sendToLeader(ClusterMessage message) {
        String target = leaderLocator.target();
        if (target != null && !closed) {
            environment.sendMessage(target, addressOf(target), message);
        }
    }

    /** When a leader last answered a poll, by this member's clock. */
    public double lastResponseAt() {
        return lastResponseAt;
    }

    /** How all instances look to this member; a voter that leads goes by it. */
    public Map<DisruptionTarget, DisruptionController.Observation> observations() {
        Map<DisruptionTarget, DisruptionController.Observation> observations = new HashMap<>();
        for (MemberStatus other : membership.otherMembers()) {
            observations.put(target(other), new DisruptionController.Observation(
                    !other.isPresent() ? DisruptionController.Health.GONE
                            : other.state() == MemberStatus.State.SUSPECTED ? DisruptionController.Health.SUSPECTED
                                    : other.steady() ? DisruptionController.Health.STEADY
                                            : DisruptionController.Health.UNSTEADY,
                    other.processIncarnation()));
        }
        MemberStatus self = membership.self();
        observations.put(target(self), new DisruptionController.Observation(
                self.steady() ? DisruptionController.Health.STEADY : DisruptionController.Health.UNSTEADY,
                self.processIncarnation()));
        return observations;
    }

    private static DisruptionTarget target(MemberStatus member) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, member.name(), member.zone());
    }

    private String addressOf(String name) {
        MemberStatus member = membership.member(name);
        return member != null ? member.address()
                : lastLocatedHint != null && lastLocatedHint.name().equals(name) ? lastLocatedHint.address() : null;
    }

    /** The response to a member that has polled this one although it does not vote. */
    public ClusterMessage leaderHint() {
        return withLeaderAddress(
                new ClusterMessage.LeaderHint(leaderLocator.leader() == null ? "" : leaderLocator.leader()));
    }

    /**
     * Adds the leader's address to a leader hint where it is known here: the receiver may know the leader by name
     * alone. Any other message is returned as it is.
     */
    public ClusterMessage withLeaderAddress(ClusterMessage message) {
        String address =
                message instanceof ClusterMessage.LeaderHint hint && hint.address().isEmpty() ? addressOf(hint.name())
                        : null;
        return address == null ? message
                : new ClusterMessage.LeaderHint(((ClusterMessage.LeaderHint) message).name(), address);
    }

    /** Names of all members that are alive or suspected, this one first. */
    public List<String> presentMembers() {
        List<String> names = new ArrayList<>(List.of(settings.name()));
        membership.otherMembers().stream().filter(MemberStatus::isPresent).map(MemberStatus::name).forEach(names::add);
        return names;
    }
}
