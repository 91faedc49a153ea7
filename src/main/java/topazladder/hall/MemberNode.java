package topazladder.hall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.below.Use;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.lease.LeaseHolder;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Membership;
import topazladder.membership.Standing;
import topazladder.service.Scheduler;

/**
 * A member of a cluster, without I/O: its membership protocol and the leases that it holds. No request that the
 * instance serves ever waits for the consensus group. All calls come on one thread.
 */
public final class MemberNode {
    private static final Logger LOG = LoggerFactory.getLogger(MemberNode.class);
    /** A member is steady only once it has been healthy for this long. */
    private static final double STEADY_AFTER_SECONDS = 1;
    /** From this membership health score on a member is not steady: it would be the first to be suspected. */
    private static final int UNSTEADY_HEALTH_SCORE = 3;
    /** Least time between two early polls, whether after a leader hint or after a change at a dependency endpoint. */
    private static final double EARLY_POLL_INTERVAL_SECONDS = 0.2;
    private static final double LEAVE_NOTICE_INTERVAL_SECONDS = 0.3;

    /** What the node needs of its environment. */
    public interface World {

        /**
         * Sends a message to another member; it may be lost.
         *
         * @param to its name, or empty where only its address is known
         * @param address where it was last known to listen, or null
         */
        void say(String to, String address, Saying what);

        /** Starts a lease's task, which asks {@link MemberNode#token} before each effect whether it may be made. */
        void start(String leaseName, long token);

        /** Stops a lease's task within so many seconds, and reports {@link MemberNode#stopped}. */
        void stop(String leaseName, long token, double withinSeconds);

        /**
         * The group has agreed that this instance shuts down: it drains and ends, reports that by its own status, and
         * is to be restarted with that version; empty for the version that it runs.
         */
        default void drain(long token, String version) {}

        /** The leader has sent the state of the rollout to the rollout controller here. */
        default void conducted(Saying.Conducted what) {}

        /**
         * A member joined, left or changed.
         *
         * @param before null for a member that was not known
         */
        default void standingChanged(Standing now, Standing before) {}
    }

    private final HallTerms settings;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final World environment;
    private final Membership membership;
    private final LeaseHolder leaseHolder;
    private final LeaderLocator leaderLocator;
    private double lastHintFollowedAt = Double.NEGATIVE_INFINITY;
    private Saying.LeaderIs lastLocatedHint; // the last hint that gave an address
    private int seedPolls;
    private boolean leaving;
    private boolean shutdownApproved;
    private boolean healthy;
    private double healthChangedAt;
    private boolean closed;
    private long timerGeneration;
    private LoadReport loadReport = LoadReport.EMPTY;
    private double lastResponseAt = Double.NEGATIVE_INFINITY;
    private Use dependencyPool; // null where the dependency has one endpoint, or is not called at all
    private double lastDependencyPollAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a member that does nothing before {@link #open}.
     *
     * @param leaseHolder of the same member; tests pass one with an injected defect
     */
    public MemberNode(HallTerms settings, LeaseHolder leaseHolder, Scheduler timers, DoubleSupplier clock,
            RandomGenerator random, World environment) {
        this.settings = settings;
        this.leaseHolder = leaseHolder;
        this.timers = timers;
        this.clock = clock;
        this.environment = environment;
        membership = new Membership(settings.membership(), new Standing(settings.name(), settings.address(),
                settings.zone(), leaseHolder.identity().incarnation(), 0, Standing.State.ALIVE, false, ""), random);
        leaderLocator = new LeaderLocator(settings.voters(), random.nextInt(Integer.MAX_VALUE));
    }

    /** Joins the cluster through its seeds. */
    public void open() {
        applyMembershipSteps(membership.join(clock.getAsDouble(), settings.seeds()));
        scheduleTick();
    }

    public MemberIdentity here() {
        return leaseHolder.identity();
    }

    public Membership membership() {
        return membership;
    }

    public LeaseHolder leaseHolder() {
        return leaseHolder;
    }

    /** Sets whether the instance serves as it should. A member that stays unhealthy hands its leases over. */
    public void well(boolean isHealthy) {
        if (isHealthy != healthy) {
            healthy = isHealthy;
            healthChangedAt = clock.getAsDouble();
        }
        updateEligibility();
    }

    /** The fencing token under which an effect may be made now; to be asked before each effect. */
    public OptionalLong token(String leaseName) {
        return leaseHolder.fencingToken(clock.getAsDouble(), leaseName);
    }

    /** A lease's task has stopped; {@code failure} says why it could not go on, or is null. */
    public void stopped(String leaseName, long token, String failure) {
        applyLeaseSteps(leaseHolder.taskStopped(clock.getAsDouble(), leaseName, token, failure));
        scheduleTick();
    }

    /** The process is shutting down: hands all leases over and tells the group. */
    public void leave() {
        leaving = true;
        sendLeaveNotice();
        applyLeaseSteps(leaseHolder.shutDown(clock.getAsDouble()));
        scheduleTick();
    }

    /** Repeats the notice until the member closes. Best effort: unheard, the member is detected as lost later. */
    private void sendLeaveNotice() {
        if (!shutdownApproved && !closed && leaderLocator.target() != null) {
            environment.say(leaderLocator.target(), addressOf(leaderLocator.target()),
                    new Saying.Leaving(here(), "a signal"));
            timers.schedule(LEAVE_NOTICE_INTERVAL_SECONDS, this::sendLeaveNotice);
        }
    }

    /** Whether nothing is left to hand over. */
    public boolean clear() {
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
    public void replace(HallTerms newSettings) {
        if (!newSettings.voters().isEmpty() && !settings.voters().isEmpty()) {
            leaderLocator.replaceVoters(newSettings.voters());
        }
    }

    /** Handles a message of another member, or of this process's own voter. */
    public void heard(String from, Saying message) {
        if (closed) {
            return;
        }
        double now = clock.getAsDouble();
        if (message instanceof Saying.Membership m) {
            applyMembershipSteps(membership.heard(now, from, m.gossip()));
        } else if (message instanceof Saying.Answering a) {
            leaderLocator.leaderConfirmed(from);
            lastResponseAt = now;
            applyLeaseSteps(leaseHolder.handleResponse(now, a.answer()));
        } else if (message instanceof Saying.LeaderIs hint) {
            // Two voters that each name the other as leader must not be polled in turn as fast as the link allows.
            if (!hint.address().isEmpty()) {
                lastLocatedHint = hint;
            }
            if (leaderLocator.leaderHinted(from, hint.name())
                    && now - lastHintFollowedAt > EARLY_POLL_INTERVAL_SECONDS) {
                lastHintFollowedAt = now;
                applyLeaseSteps(leaseHolder.wakeUp(now));
            }
        } else if (message instanceof Saying.MayGo m && !leaving && !shutdownApproved) {
            environment.say(from, addressOf(from), new Saying.Going(here(), m.token()));
        } else if (message instanceof Saying.Go g && !leaving && !shutdownApproved) {
            LOG.info("shutdown approved member={} token={} next_version={}", here(), g.token(), g.version());
            shutdownApproved = true;
            environment.drain(g.token(), g.version());
        } else if (message instanceof Saying.Conducted c) {
            leaderLocator.leaderConfirmed(from);
            environment.conducted(c);
        } else if (message instanceof Saying.Belows b) {
            if (dependencyPool != null) {
                dependencyPool.told(now, b.term(), b.words());
            }
        } else if (message instanceof Saying.Nudge) {
            leaderLocator.leaderConfirmed(from);
            applyLeaseSteps(leaseHolder.wakeUp(now));
        }
        scheduleTick();
    }

    private void updateEligibility() {
        double now = clock.getAsDouble();
        boolean steady = healthy && now - healthChangedAt >= STEADY_AFTER_SECONDS
                && membership.health() < UNSTEADY_HEALTH_SCORE;
        membership.steady(steady);
        applyLeaseSteps(leaseHolder.setEligible(now,
                steady && settings.eligibleForLeases() && !settings.voters().isEmpty()));
    }

    /** Keeps one timer, for the earliest of what is due. */
    private void scheduleTick() {
        if (closed) {
            return;
        }
        double now = clock.getAsDouble();
        double delaySeconds = Math.min(membership.next(now),
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
            if (step instanceof Membership.Step.Say s) {
                environment.say(s.to(), s.address(), new Saying.Membership(s.what()));
            } else if (step instanceof Membership.Step.Changed c) {
                if (c.before() == null || c.before().state() != c.now().state() || c.before().life() != c.now()
                        .life()) {
                    LOG.info("member state changed observer={} member={} state={}", settings.name(), c.now().name(),
                            c.now().state());
                }
                environment.standingChanged(c.now(), c.before());
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
                Saying request =
                        new Saying.Asking(s.request(), settings.address(), settings.messageSchema(), loadReport,
                                dependencyPool == null ? List.of() : dependencyPool.reports(clock.getAsDouble()));
                if (addressOf(target) == null && !settings.seeds().isEmpty()) {
                    // Where the first messages to the voters were lost, a large cluster spreads their addresses only
                    // slowly; any seed passes on a hint of who leads.
                    environment.say("", settings.seeds().get(seedPolls++ % settings.seeds().size()), request);
                } else {
                    environment.say(target, addressOf(target), request);
                }
            } else if (step instanceof LeaseHolder.Step.Start s) {
                LOG.info("lease acquired holder={} lease={} token={}", here(), s.leaseName(), s.fencingToken());
                environment.start(s.leaseName(), s.fencingToken());
            } else if (step instanceof LeaseHolder.Step.Stop s) {
                LOG.info("lease task stopping holder={} lease={} token={} reason={}", here(), s.leaseName(),
                        s.fencingToken(), s.reason());
                environment.stop(s.leaseName(), s.fencingToken(), s.withinSeconds());
            }
        }
    }

    /** Who leads the group as far as this member was told; null where nobody has answered yet. */
    public String leader() {
        return leaderLocator.leader();
    }

    /** Sets the load report that goes with the next poll. */
    public void serving(LoadReport latest) {
        loadReport = latest;
    }

    /** Sets the dependency endpoints that this instance uses; its reports on them go with each poll. */
    public void below(Use pool) {
        dependencyPool = pool;
    }

    /** A dependency call has ended: where it changes what is known of an endpoint, the leader is polled at once. */
    public void noticed() {
        double now = clock.getAsDouble();
        if (dependencyPool != null && now - lastDependencyPollAt > EARLY_POLL_INTERVAL_SECONDS
                && dependencyPool.news(now) && !closed) {
            lastDependencyPollAt = now;
            applyLeaseSteps(leaseHolder.wakeUp(now));
            scheduleTick();
        }
    }

    /** Sends to the leader, or to the voter that is tried next while no leader is known. */
    public void sendToLeader(Saying message) {
        String target = leaderLocator.target();
        if (target != null && !closed) {
            environment.say(target, addressOf(target), message);
        }
    }

    /** When a leader last answered a poll, by this member's clock. */
    public double answeredAt() {
        return lastResponseAt;
    }

    /** How all instances look to this member; a voter that leads goes by it. */
    public Map<DisruptionTarget, DisruptionController.Observation> looks() {
        Map<DisruptionTarget, DisruptionController.Observation> observations = new HashMap<>();
        for (Standing other : membership.others()) {
            observations.put(target(other), new DisruptionController.Observation(
                    !other.there() ? DisruptionController.Health.GONE
                            : other.state() == Standing.State.SUSPECTED ? DisruptionController.Health.SUSPECTED
                                    : other.steady() ? DisruptionController.Health.STEADY
                                            : DisruptionController.Health.UNSTEADY,
                    other.life()));
        }
        Standing self = membership.self();
        observations.put(target(self), new DisruptionController.Observation(
                self.steady() ? DisruptionController.Health.STEADY : DisruptionController.Health.UNSTEADY,
                self.life()));
        return observations;
    }

    private static DisruptionTarget target(Standing member) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, member.name(), member.hall());
    }

    private String addressOf(String name) {
        Standing member = membership.other(name);
        return member != null ? member.address()
                : lastLocatedHint != null && lastLocatedHint.name().equals(name) ? lastLocatedHint.address() : null;
    }

    /** The response to a member that has polled this one although it does not vote. */
    public Saying elsewhere() {
        return located(new Saying.LeaderIs(leaderLocator.leader() == null ? "" : leaderLocator.leader()));
    }

    /**
     * Adds the leader's address to a leader hint where it is known here: the receiver may know the leader by name
     * alone. Any other message is returned as it is.
     */
    public Saying located(Saying message) {
        String address = message instanceof Saying.LeaderIs hint && hint.address().isEmpty() ? addressOf(hint.name())
                : null;
        return address == null ? message : new Saying.LeaderIs(((Saying.LeaderIs) message).name(), address);
    }

    /** Names of all members that are alive or suspected, this one first. */
    public List<String> presentMembers() {
        List<String> names = new ArrayList<>(List.of(settings.name()));
        membership.others().stream().filter(Standing::there).map(Standing::name).forEach(names::add);
        return names;
    }
}
