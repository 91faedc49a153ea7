package topazladder.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import topazladder.lease.LeaseCommand.Define;
import topazladder.lease.LeaseCommand.Expire;
import topazladder.lease.LeaseCommand.Grant;
import topazladder.lease.LeaseCommand.HolderCrashed;
import topazladder.lease.LeaseCommand.HolderFailed;
import topazladder.lease.LeaseCommand.HolderSettled;
import topazladder.lease.LeaseCommand.OnLease;
import topazladder.lease.LeaseCommand.RaiseTokenFloor;
import topazladder.lease.LeaseCommand.Release;
import topazladder.lease.LeaseRequest.Stopped;
import topazladder.lease.LeaseState.Loss;

/**
 * The leader side of the lease protocol: answers members' requests, grants leases that are not held, and proposes the
 * expiry of leases that were not renewed. Every voter has one; only the leader's makes decisions, from when the first
 * command of its term is applied.
 *
 * <p>Invariants:
 *
 * <ul>
 * <li>A request is answered only once a majority has confirmed, in a round that began after the request arrived, that
 * this voter leads. A partitioned leader may take itself for the leader for a long time, and must not renew a lease
 * that another leader has granted to another member.
 * <li>A lease expires {@code safeExpirySeconds} after the last response that renewed it, or after the start of this
 * leader's term if an earlier leader granted it: {@code durationSeconds * 1.05 / 0.95}, by this leader's clock. No
 * response renews a lease once its end is proposed, even if the outcome of the proposal is unknown.
 * <li>Nothing is granted before every member had one poll interval to send a request, as the first member to send one
 * would otherwise be granted every lease. After a consensus group was formed anew, nothing is granted before the
 * longest lease of the earlier group has expired.
 * </ul>
 *
 * <p>Deadlines are not replicated: they are lost with the leader's term, and the next leader lets the full duration of
 * every granted lease pass before it expires one. All calls come on one thread; all times are seconds of one monotonic
 * clock.
 */
public class LeaseManager {
    /** Most requests per second from all members without leases; the poll interval of large clusters is set by it. */
    private static final double MAX_IDLE_REQUESTS_PER_SECOND = 200;
    /** Used as the shortest lease duration while no lease is defined. */
    private static final double DEFAULT_DURATION_SECONDS = 10;
    /** Poll interval of members whose return to service is awaited. */
    private static final double FAST_POLL_SECONDS = 0.5;
    /** Lease durations that a holder must last before the task no longer counts as the cause of earlier losses. */
    private static final double SETTLED_AFTER_DURATIONS = 5;
    /** Poll intervals without a request after which a member is no longer known. */
    private static final double MAX_MISSED_POLLS = 3;

    /** An action that the caller has to carry out. */
    public sealed interface Step {

        /** Propose a command, then call {@link #commandApplied} or {@link #commandFailed}. */
        record Propose(LeaseCommand command) implements Step {
        }

        /**
         * Confirm with a majority that this voter still leads, then call {@link #leadershipConfirmed} or
         * {@link #leadershipUnconfirmed}.
         */
        record ConfirmLeadership(long round) implements Step {
        }

        /** Send a response to a member. */
        record Reply(MemberIdentity member, LeaseResponse response) implements Step {
        }

        /** Tell a member that was granted a lease to poll immediately. */
        record WakeUp(MemberIdentity member) implements Step {
        }
    }

    private final LeaseStateMachine stateMachine;
    private final KnownMembers members = new KnownMembers();
    private final PendingRequests requests = new PendingRequests();
    private final LeaseDeadlines deadlines = new LeaseDeadlines();
    private final LeaseBalancer balancer = new LeaseBalancer();
    private final LeaseAssignment assignment;
    private final Map<String, LeaseCommand> commandsInFlight = new HashMap<>(); // by lease name, at most one each
    private boolean leading;
    private Set<String> fastPollingMembers = Set.of();
    private double grantsAllowedFrom;
    private double earlierGroupExpiresAt = Double.NEGATIVE_INFINITY;

    /** @param stateMachine the replicated state; only read here, as committed commands alone change it */
    public LeaseManager(LeaseStateMachine stateMachine) {
        this.stateMachine = stateMachine;
        assignment = new LeaseAssignment(stateMachine, members, balancer);
    }

    // ---- leadership

    /** Whether this voter takes itself for the leader. */
    public boolean isLeader() {
        return leading;
    }

    /**
     * Begins this voter's term as leader. The first command of the term is applied, so every command that earlier
     * leaders committed is known here. When they last renewed each lease is unknown, so each lease counts from now.
     */
    public void becomeLeader(double now) {
        leading = true;
        commandsInFlight.clear();
        requests.reset();
        deadlines.clear();
        members.clear();
        balancer.reset(now);
        grantsAllowedFrom = now + pollIntervalSeconds();
        for (LeaseState lease : stateMachine.leases()) {
            if (lease.isHeld()) {
                LeaseSettings settings = lease.settings();
                deadlines.track(settings.name(), now, inheritedExpiry(now, settings));
            }
        }
    }

    /** When a lease that an earlier leader granted or renewed has expired for certain. */
    protected double inheritedExpiry(double now, LeaseSettings settings) {
        return now + safeExpirySeconds(settings);
    }

    /**
     * Seconds of the leader's clock after which a lease granted now has expired at its holder for certain, up to the
     * largest clock drift allowed.
     */
    protected double safeExpirySeconds(LeaseSettings settings) {
        return LeaseSettings.safeExpirySeconds(settings.durationSeconds());
    }

    /** Ends this voter's term as leader, as another voter leads or may lead. */
    public void stepDown() {
        leading = false;
        requests.clear();
    }

    // ---- requests

    /** Handles a member's request. It is answered after a leadership confirmation that begins after this call. */
    public List<Step> handleRequest(double now, LeaseRequest request) {
        if (!leading || members.isOutdated(request.member())) {
            return List.of();
        }
        List<Step> steps = new ArrayList<>();
        boolean isNew = members.recordRequest(now, request);
        if (isNew) {
            reportCrashes(request.member(), steps);
        }
        for (Stopped stopped : request.stopped()) {
            handleStopped(request.member(), stopped, steps);
        }
        requests.add(request);
        confirmLeadership(steps);
        return steps;
    }

    /** Earlier incarnations of the member have ended: each of their losses counts as a crash caused by the task. */
    private void reportCrashes(MemberIdentity member, List<Step> steps) {
        for (LeaseState lease : stateMachine.leases()) {
            for (Loss loss : lease.losses()) {
                if (!loss.processEnded() && loss.holder().name().equals(member.name())
                        && loss.holder().incarnation() != member.incarnation()) {
                    steps.add(new Step.Propose(new HolderCrashed(lease.settings().name(), loss.fencingToken())));
                }
            }
        }
    }

    private void handleStopped(MemberIdentity member, Stopped stopped, List<Step> steps) {
        LeaseState lease = stateMachine.get(stopped.leaseName());
        if (lease == null || !lease.isHeld() || lease.fencingToken() != stopped.fencingToken()
                || !lease.holder().equals(member)) {
            return;
        }
        propose(stopped.failure() == null ? new Release(stopped.leaseName(), stopped.fencingToken())
                : new HolderFailed(stopped.leaseName(), stopped.fencingToken(), stopped.failure()), steps);
    }

    private void confirmLeadership(List<Step> steps) {
        if (requests.beginRound()) {
            steps.add(new Step.ConfirmLeadership(requests.round()));
        }
    }

    /** Answers the requests of a round: a majority has confirmed that this voter led at some time after it began. */
    public List<Step> leadershipConfirmed(double now, long round) {
        List<Step> steps = new ArrayList<>();
        if (!leading || round != requests.round()) {
            return steps;
        }
        double pollAfterSeconds = pollIntervalSeconds();
        Map<MemberIdentity, List<LeaseState>> leasesByHolder = leasesByHolder();
        for (LeaseRequest request : requests.takeConfirmed()) {
            MemberIdentity member = request.member();
            List<LeaseResponse.Grant> grants = renew(now, leasesByHolder.getOrDefault(member, List.of()));
            double pollAfter = fastPollingMembers.contains(member.name())
                    ? Math.min(pollAfterSeconds, FAST_POLL_SECONDS) : pollAfterSeconds;
            steps.add(new Step.Reply(member, new LeaseResponse(request.sequence(), grants, pollAfter)));
        }
        confirmLeadership(steps);
        return steps;
    }

    private List<LeaseResponse.Grant> renew(double now, List<LeaseState> held) {
        List<LeaseResponse.Grant> grants = new ArrayList<>();
        for (LeaseState lease : held) {
            LeaseSettings settings = lease.settings();
            LeaseCommand inFlight = commandsInFlight.get(settings.name());
            if (inFlight == null || isRenewable(inFlight)) {
                deadlines.extend(settings.name(), now + safeExpirySeconds(settings));
                grants.add(new LeaseResponse.Grant(settings.name(), lease.fencingToken(), settings.durationSeconds(),
                        assignment.shouldRelease(now, lease)));
            }
        }
        return grants;
    }

    /**
     * Whether a lease may be renewed while this command about it is in flight. If its end is proposed it must not be
     * renewed, as another member may hold it by the time the response arrives.
     */
    protected boolean isRenewable(LeaseCommand inFlight) {
        return inFlight instanceof HolderSettled;
    }

    /** Drops the requests of a round that no majority has confirmed; the members repeat them, here or elsewhere. */
    public List<Step> leadershipUnconfirmed(long round) {
        if (round == requests.round()) {
            requests.dropUnconfirmed();
        }
        List<Step> steps = new ArrayList<>();
        if (leading) {
            confirmLeadership(steps);
        }
        return steps;
    }

    /** Sets the members that should poll often, as others wait for their return to service. */
    public void setFastPolling(Set<String> memberNames) {
        fastPollingMembers = memberNames;
    }

    /** Half the shortest lease duration, or longer if that many members would exceed the request rate. */
    private double pollIntervalSeconds() {
        double shortest = stateMachine.leases().stream().mapToDouble(lease -> lease.settings().durationSeconds()).min()
                .orElse(DEFAULT_DURATION_SECONDS);
        return Math.max(shortest / 2, members.size() / MAX_IDLE_REQUESTS_PER_SECOND);
    }

    private Map<MemberIdentity, List<LeaseState>> leasesByHolder() {
        Map<MemberIdentity, List<LeaseState>> byHolder = new HashMap<>();
        for (LeaseState lease : stateMachine.leases()) {
            if (lease.isHeld()) {
                byHolder.computeIfAbsent(lease.holder(), holder -> new ArrayList<>()).add(lease);
            }
        }
        return byHolder;
    }

    // ---- commands

    private void propose(OnLease command, List<Step> steps) {
        if (commandsInFlight.putIfAbsent(command.leaseName(), command) == null) {
            steps.add(new Step.Propose(command));
        }
    }

    /** Handles a command that was applied at this voter, whichever voter proposed it. */
    public List<Step> commandApplied(double now, LeaseCommand command, LeaseStateMachine.Outcome outcome) {
        List<Step> steps = new ArrayList<>();
        if (!leading) {
            return steps;
        }
        if (command instanceof Grant grant) {
            handleGrantApplied(now, grant, outcome, steps);
        } else if (command instanceof Release || command instanceof Expire || command instanceof HolderFailed) {
            handleEndApplied(((OnLease) command).leaseName());
        } else if (command instanceof HolderSettled settled) {
            commandsInFlight.remove(settled.leaseName());
        } else if (command instanceof Define) {
            handleDefineApplied(now);
        } else if (command instanceof RaiseTokenFloor && outcome.isApplied()) {
            handleTokenFloorRaised(now);
        }
        return steps;
    }

    private void handleGrantApplied(double now, Grant grant, LeaseStateMachine.Outcome outcome, List<Step> steps) {
        commandsInFlight.remove(grant.leaseName());
        if (outcome.isApplied()) {
            LeaseSettings settings = stateMachine.get(grant.leaseName()).settings();
            deadlines.track(grant.leaseName(), now, now + safeExpirySeconds(settings));
            steps.add(new Step.WakeUp(grant.holder()));
        }
    }

    private void handleEndApplied(String leaseName) {
        commandsInFlight.remove(leaseName);
        balancer.moveEnded(leaseName);
        LeaseState lease = stateMachine.get(leaseName);
        if (lease == null || !lease.isHeld()) {
            deadlines.remove(leaseName);
        }
    }

    private void handleDefineApplied(double now) {
        commandsInFlight.clear();
        // While no lease was defined, the poll interval was based on the default duration.
        grantsAllowedFrom = Math.min(grantsAllowedFrom, now + pollIntervalSeconds());
    }

    /** Holds back grants, as holders of the earlier group may keep their leases until these expire. */
    private void handleTokenFloorRaised(double now) {
        commandsInFlight.clear();
        double longest = stateMachine.leases().stream().mapToDouble(lease -> safeExpirySeconds(lease.settings())).max()
                .orElse(0);
        earlierGroupExpiresAt = now + longest;
    }

    /**
     * Handles a command that was not committed, or whose outcome is unknown. An expiry stays in flight: it may still be
     * committed, so the lease must not be renewed any more.
     */
    public void commandFailed(LeaseCommand command) {
        if (command instanceof Grant || command instanceof Release || command instanceof HolderFailed
                || command instanceof HolderSettled) {
            commandsInFlight.remove(((OnLease) command).leaseName());
        }
    }

    // ---- time

    /** Proposes to expire overdue leases and to grant free ones. To be called several times per lease duration. */
    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        if (!leading) {
            return steps;
        }
        members.removeSilent(now, MAX_MISSED_POLLS * pollIntervalSeconds());
        Map<MemberIdentity, Integer> load = new HashMap<>();
        stateMachine.leases().stream().filter(LeaseState::isHeld)
                .forEach(lease -> load.merge(lease.holder(), 1, Integer::sum));
        for (LeaseState lease : List.copyOf(stateMachine.leases())) {
            if (lease.isHeld()) {
                checkHolder(now, lease, steps);
            } else if (mayGrant(now, lease)) {
                grant(lease, load, steps);
            }
        }
        balancer.retainDefined(stateMachine);
        if (now >= grantsAllowedFrom) {
            balancer.balance(now, stateMachine.leases(), members.eligibleMembers(), load, pollIntervalSeconds());
        }
        return steps;
    }

    private void checkHolder(double now, LeaseState lease, List<Step> steps) {
        String leaseName = lease.settings().name();
        if (isExpired(now, lease)) {
            // Repeated at each tick, as a proposal may be lost; a duplicate is rejected by its fencing token.
            Expire expire = new Expire(leaseName, lease.fencingToken());
            commandsInFlight.put(leaseName, expire);
            steps.add(new Step.Propose(expire));
        } else if (!lease.losses().isEmpty() && !commandsInFlight.containsKey(leaseName)
                && isSettled(now, lease.settings())) {
            propose(new HolderSettled(leaseName, lease.fencingToken()), steps);
        }
    }

    /** Whether the lease has expired at its holder for certain, by the leader's clock. */
    protected boolean isExpired(double now, LeaseState lease) {
        LeaseSettings settings = lease.settings();
        return now >= deadlines.expiresAtOrRecord(settings.name(), now + safeExpirySeconds(settings));
    }

    private boolean isSettled(double now, LeaseSettings settings) {
        double heldSeconds = now - deadlines.heldSince(settings.name(), now);
        return heldSeconds > SETTLED_AFTER_DURATIONS * settings.durationSeconds();
    }

    private boolean mayGrant(double now, LeaseState lease) {
        return !lease.isSuspended() && !commandsInFlight.containsKey(lease.settings().name())
                && now >= grantsAllowedFrom && now >= earlierGroupExpiresAt;
    }

    private void grant(LeaseState lease, Map<MemberIdentity, Integer> load, List<Step> steps) {
        assignment.holderFor(lease, load).ifPresent(member -> {
            load.merge(member, 1, Integer::sum);
            propose(new Grant(lease.settings().name(), member, lease.fencingToken()), steps);
        });
    }

    /** The members that have sent this leader a request recently, in natural order. */
    public Set<MemberIdentity> knownMembers() {
        return members.identities();
    }
}
