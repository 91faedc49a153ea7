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
 * The leader's side of the leases: answers members' requests, grants leases that nobody holds, and ends those that have
 * run out. Only the leader's has a say, from when the first command of its term is applied.
 *
 * <p>Invariants:
 *
 * <ul>
 * <li>A request is answered once a majority has confirmed, after it came, that this voter leads: one that was cut off
 * may believe in itself for long, and must not renew what another leader has granted to somebody else.
 * <li>A lease expires {@code safeExpirySeconds} after the last response about it, or after this leader's start for one
 * that an earlier leader granted: {@code durationSeconds * 1.05 / 0.95}, by this leader's clock. No response renews a
 * lease once its end is proposed, even where nobody knows whether the proposal came through.
 * <li>Nothing is granted before every member had a poll interval to be heard, or else the first to ask would be granted
 * all; nor, after a group was formed anew, before the longest lease of the earlier group has run out.
 * </ul>
 *
 * <p>What it believes about times is not replicated: it is lost with the leader, and the next one waits out what it
 * can't know. All calls come on one thread; times are seconds of one clock that never runs backwards.
 */
public class LeaseManager {
    /** Requests a second, over all members, that the leader wants from those that hold nothing. */
    private static final double MAX_IDLE_REQUESTS_PER_SECOND = 200;
    /** Stands for the shortest lease while none is defined. */
    private static final double DEFAULT_DURATION_SECONDS = 10;
    /** Of a member whose return is waited for. */
    private static final double FAST_POLL_SECONDS = 0.5;
    /** Lease durations for which a holder has to hold before its work counts as not the cause of earlier losses. */
    private static final double SETTLED_AFTER_DURATIONS = 5;
    /** Poll intervals without a request after which a member is forgotten. */
    private static final double MAX_MISSED_POLLS = 3;

    /** What the caller has to do. */
    public sealed interface Step {

        /** Propose a command; then {@link #commandApplied} or {@link #commandFailed}. */
        record Propose(LeaseCommand command) implements Step {
        }

        /** Ask a majority whether this still leads; then {@link #leadershipConfirmed} or its opposite. */
        record ConfirmLeadership(long round) implements Step {
        }

        /** Send a response. */
        record Reply(MemberIdentity member, LeaseResponse response) implements Step {
        }

        /** Tell a member that was granted something to poll at once. */
        record WakeUp(MemberIdentity member) implements Step {
        }
    }

    private final LeaseStateMachine stateMachine;
    private final KnownMembers members = new KnownMembers();
    private final PendingRequests requests = new PendingRequests();
    private final LeaseDeadlines deadlines = new LeaseDeadlines();
    private final LeaseBalancer balancer = new LeaseBalancer();
    private final LeaseAssignment assignment;
    private final Map<String, LeaseCommand> commandsInFlight = new HashMap<>(); // by lease, one each
    private boolean leading;
    private Set<String> fastPollingMembers = Set.of();
    private double mayGrantFrom;
    private double earlierGroupUntil = Double.NEGATIVE_INFINITY;

    /** @param stateMachine replicated; read here, and changed only by commands that are applied */
    public LeaseManager(LeaseStateMachine stateMachine) {
        this.stateMachine = stateMachine;
        assignment = new LeaseAssignment(stateMachine, members, balancer);
    }

    // ---- leadership

    /** Whether this voter leads, as far as it knows. */
    public boolean isLeader() {
        return leading;
    }

    /**
     * The first command of this leader's term is applied: all that earlier leaders had agreed on is known here. What
     * they told the holders is not, so each lease counts from now.
     */
    public void becomeLeader(double now) {
        leading = true;
        commandsInFlight.clear();
        requests.reset();
        deadlines.clear();
        members.clear();
        balancer.reset(now);
        mayGrantFrom = now + pollIntervalSeconds();
        for (LeaseState lease : stateMachine.leases()) {
            if (lease.isHeld()) {
                LeaseSettings settings = lease.settings();
                deadlines.held(settings.name(), now, inheritedExpiry(now, settings));
            }
        }
    }

    /** When a lease that an earlier leader granted has surely run out. */
    protected double inheritedExpiry(double now, LeaseSettings settings) {
        return now + safeExpirySeconds(settings);
    }

    /** Seconds by this clock after which a lease that is granted now has run out by any clock. */
    protected double safeExpirySeconds(LeaseSettings settings) {
        return LeaseSettings.safeExpirySeconds(settings.durationSeconds());
    }

    /** Another voter leads, or may lead. */
    public void stepDown() {
        leading = false;
        requests.clear();
    }

    // ---- requests

    /** A member polls. It is answered after a confirmation that begins after this call. */
    public List<Step> handleRequest(double now, LeaseRequest request) {
        if (!leading || members.isOutdated(request.member())) {
            return List.of();
        }
        List<Step> steps = new ArrayList<>();
        boolean isNew = members.heard(now, request);
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

    /** Earlier incarnations of the member have ended: each loss of theirs counts as brought about by the work. */
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

    /** A majority has confirmed that this voter led at some moment after the round began. */
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
     * Whether a lease may be renewed while that command about it is in flight. Not while it ends: by the time the
     * response arrives the lease may be another's.
     */
    protected boolean isRenewable(LeaseCommand inFlight) {
        return inFlight instanceof HolderSettled;
    }

    /** The majority did not answer: the members that wait poll again, here or elsewhere. */
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

    /** Members that should poll often, as others wait for their return to service. */
    public void setFastPolling(Set<String> memberNames) {
        fastPollingMembers = memberNames;
    }

    /** Half the shortest lease, or longer where the members are too many for that. */
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

    /** A command was applied at this voter, whoever proposed it. */
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
            deadlines.held(grant.leaseName(), now, now + safeExpirySeconds(settings));
            steps.add(new Step.WakeUp(grant.holder()));
        }
    }

    private void handleEndApplied(String leaseName) {
        commandsInFlight.remove(leaseName);
        balancer.moved(leaseName);
        LeaseState lease = stateMachine.get(leaseName);
        if (lease == null || !lease.isHeld()) {
            deadlines.remove(leaseName);
        }
    }

    private void handleDefineApplied(double now) {
        commandsInFlight.clear();
        // The poll interval was a guess while no lease was defined.
        mayGrantFrom = Math.min(mayGrantFrom, now + pollIntervalSeconds());
    }

    /** Holders of the earlier group may go on for as long as their leases. */
    private void handleTokenFloorRaised(double now) {
        commandsInFlight.clear();
        double longest = stateMachine.leases().stream().mapToDouble(lease -> safeExpirySeconds(lease.settings())).max()
                .orElse(0);
        earlierGroupUntil = now + longest;
    }

    /**
     * A command did not come through, or nobody knows whether it did. An expiry stays in flight: it may still come
     * through, so the lease must not be renewed any more.
     */
    public void commandFailed(LeaseCommand command) {
        if (command instanceof Grant || command instanceof Release || command instanceof HolderFailed
                || command instanceof HolderSettled) {
            commandsInFlight.remove(((OnLease) command).leaseName());
        }
    }

    // ---- time

    /** Ends leases that have run out and grants those that nobody holds. To be called several times in a lease. */
    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        if (!leading) {
            return steps;
        }
        members.forgetSilent(now, MAX_MISSED_POLLS * pollIntervalSeconds());
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
        if (now >= mayGrantFrom) {
            balancer.balance(now, stateMachine.leases(), members.eligibleMembers(), load, pollIntervalSeconds());
        }
        return steps;
    }

    private void checkHolder(double now, LeaseState lease, List<Step> steps) {
        String leaseName = lease.settings().name();
        if (isExpired(now, lease)) {
            // Again where the last proposal was lost: the command names the token, so a second one changes nothing.
            Expire expire = new Expire(leaseName, lease.fencingToken());
            commandsInFlight.put(leaseName, expire);
            steps.add(new Step.Propose(expire));
        } else if (!lease.losses().isEmpty() && !commandsInFlight.containsKey(leaseName)
                && isSettled(now, lease.settings())) {
            propose(new HolderSettled(leaseName, lease.fencingToken()), steps);
        }
    }

    /** Whether the holder's time has surely run out, by this clock. */
    protected boolean isExpired(double now, LeaseState lease) {
        LeaseSettings settings = lease.settings();
        return now >= deadlines.expiresAt(settings.name(), now + safeExpirySeconds(settings));
    }

    private boolean isSettled(double now, LeaseSettings settings) {
        double heldSeconds = now - deadlines.heldSince(settings.name(), now);
        return heldSeconds > SETTLED_AFTER_DURATIONS * settings.durationSeconds();
    }

    private boolean mayGrant(double now, LeaseState lease) {
        return !lease.isSuspended() && !commandsInFlight.containsKey(lease.settings().name()) && now >= mayGrantFrom
                && now >= earlierGroupUntil;
    }

    private void grant(LeaseState lease, Map<MemberIdentity, Integer> load, List<Step> steps) {
        assignment.holderFor(lease, load).ifPresent(member -> {
            load.merge(member, 1, Integer::sum);
            propose(new Grant(lease.settings().name(), member, lease.fencingToken()), steps);
        });
    }

    /** The members that this leader has heard of lately, in their natural order. */
    public Set<MemberIdentity> knownMembers() {
        return members.identities();
    }
}
