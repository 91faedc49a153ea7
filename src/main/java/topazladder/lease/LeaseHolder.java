package topazladder.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.TreeMap;
import topazladder.lease.LeaseResponse.Grant;

/**
 * A member's side of the leases: polls the leader, counts its leases down, and starts and stops the work.
 *
 * <p>Invariants:
 *
 * <ul>
 * <li>A lease counts from before its request was sent, and never longer than {@code durationSeconds} from there.
 * Nothing that arrives late makes it longer.
 * <li>The work is told to stop when less than 15% of the lease is left, and is allowed no effect past its end, whether
 * it has reported that it stopped or not. The leader grants the lease again only after that, as it counts with slack
 * for clocks that run apart.
 * <li>The work under a token is started once, and never before the work under the last token has stopped.
 * </ul>
 *
 * <p>It goes by one clock that never runs backwards and goes on while the process is stalled; times are seconds of that
 * clock. Whoever has an effect to make asks {@link #fencingToken} just before it, and hands the token to whatever the
 * effect is on. All calls come on one thread.
 */
public class LeaseHolder {
    private static final double MIN_TICK_SECONDS = 0.001;

    /** What the caller has to do. */
    public sealed interface Step {

        /**
         * Send a request to the leader.
         *
         * @param otherVoter to another voter than the last request, which got no response
         */
        record Send(LeaseRequest request, boolean otherVoter) implements Step {
        }

        /** Start the work under that token. */
        record Start(String leaseName, long fencingToken) implements Step {
        }

        /**
         * Stop the work, and report it by {@link LeaseHolder#taskStopped}.
         *
         * @param withinSeconds after which no effect is allowed any more
         */
        record Stop(String leaseName, long fencingToken, double withinSeconds, String reason) implements Step {
        }
    }

    private final MemberIdentity identity;
    private final HeldLeases leases = new HeldLeases();
    private final PollSchedule polls = new PollSchedule();
    private boolean eligible;
    private boolean shuttingDown;

    /** @param identity of this process */
    public LeaseHolder(MemberIdentity identity) {
        this.identity = identity;
    }

    /** The process that this is a part of. */
    public MemberIdentity identity() {
        return identity;
    }

    // ---- the process

    /** Whether this may be granted anything from now on; it keeps what it holds until the leader asks for it. */
    public List<Step> setEligible(double now, boolean isEligible) {
        if (eligible != isEligible) {
            eligible = isEligible;
            polls.pollAtOnce();
        }
        return tick(now);
    }

    /** The process will end: all work is stopped in order, and nothing is taken any more. */
    public List<Step> shutDown(double now) {
        shuttingDown = true;
        List<Step> steps = new ArrayList<>();
        leases.forEach((leaseName, lease) -> stop(now, leaseName, lease, "the instance leaves", steps));
        polls.pollAtOnce();
        steps.addAll(tick(now));
        return steps;
    }

    /** Whether nothing is left to stop, or to report, before the process ends. */
    public boolean isIdle() {
        return leases.isEmpty();
    }

    // ---- the work

    /** The token under which an effect may be made now; empty where none may. To be asked before each effect. */
    public OptionalLong fencingToken(double now, String leaseName) {
        HeldLease lease = leases.get(leaseName);
        return lease != null && lease.allowsEffects(now) ? OptionalLong.of(lease.fencingToken())
                : OptionalLong.empty();
    }

    /**
     * The work has ended: no effect under that token is made any more.
     *
     * @param failure why it could not be done; null where it was stopped in order
     */
    public List<Step> taskStopped(double now, String leaseName, long fencingToken, String failure) {
        HeldLease lease = leases.get(leaseName);
        if (lease != null && lease.fencingToken() == fencingToken && !lease.isStopped()) {
            markStopped(now, leaseName, lease, failure);
        }
        return tick(now);
    }

    private void stop(double now, String leaseName, HeldLease lease, String reason, List<Step> steps) {
        if (lease.isHolding()) {
            lease.stopping();
            steps.add(new Step.Stop(leaseName, lease.fencingToken(), lease.remainingSeconds(now), reason));
        }
    }

    private void markStopped(double now, String leaseName, HeldLease lease, String failure) {
        leases.markStopped(now, leaseName, lease, failure);
        polls.pollAtOnce();
    }

    // ---- responses

    /** A response arrived, maybe late or twice; one to a request that is not known gives nothing. */
    public List<Step> handleResponse(double now, LeaseResponse response) {
        List<Step> steps = new ArrayList<>();
        OptionalDouble requestedAt = polls.answered(response);
        if (requestedAt.isEmpty()) {
            return steps;
        }
        double countsFrom = leaseStart(requestedAt.getAsDouble(), now);
        for (Grant grant : response.grants()) {
            handleGrant(now, countsFrom + grant.durationSeconds(), grant, steps);
        }
        leases.forgetRecorded(response, requestedAt.getAsDouble());
        steps.addAll(tick(now));
        return steps;
    }

    /** From when a lease counts. From the response, it would go on longer here than the leader believes. */
    protected double leaseStart(double requestedAt, double now) {
        return requestedAt;
    }

    private void handleGrant(double now, double expiresAt, Grant grant, List<Step> steps) {
        HeldLease lease = leases.get(grant.leaseName());
        if (lease != null && lease.fencingToken() == grant.fencingToken()) {
            handleRenewal(now, expiresAt, lease, grant, steps);
        } else if (lease != null && lease.fencingToken() > grant.fencingToken()) {
            return; // the response was overtaken by a later one
        } else if (leases.hasEnded(grant.leaseName(), grant.fencingToken())) {
            reportEndAgain(now, expiresAt, grant);
        } else if (lease != null && !lease.isStopped()) {
            // Granted anew before the work under the last token has stopped: it would run beside itself.
            stop(now, grant.leaseName(), lease, "it was granted anew", steps);
        } else {
            begin(now, expiresAt, grant, steps);
        }
    }

    private void handleRenewal(double now, double expiresAt, HeldLease lease, Grant grant, List<Step> steps) {
        if (!lease.isHolding()) {
            return;
        }
        lease.renew(expiresAt);
        if (grant.stopRequested()) {
            stop(now, grant.leaseName(), lease, "the group wants it elsewhere", steps);
        }
    }

    /** The leader that was told of the end is none any more: without another report it would be renewed for ever. */
    private void reportEndAgain(double now, double expiresAt, Grant grant) {
        HeldLease lease = leases.get(grant.leaseName());
        if (lease == null) {
            lease = new HeldLease(grant.fencingToken(), grant.durationSeconds(), expiresAt);
            leases.put(grant.leaseName(), lease);
        }
        markStopped(now, grant.leaseName(), lease, null);
    }

    private void begin(double now, double expiresAt, Grant grant, List<Step> steps) {
        HeldLease lease = new HeldLease(grant.fencingToken(), grant.durationSeconds(), expiresAt);
        leases.put(grant.leaseName(), lease);
        if (now >= expiresAt || shuttingDown || grant.stopRequested()) {
            markStopped(now, grant.leaseName(), lease, null);
        } else {
            steps.add(new Step.Start(grant.leaseName(), grant.fencingToken()));
        }
    }

    // ---- time

    /** Something was granted here: polls at once. */
    public List<Step> wakeUp(double now) {
        polls.pollAtOnce();
        return tick(now);
    }

    /** Stops what runs out and polls where a poll is due. To be called when {@link #secondsUntilTick} says. */
    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        leases.forEach((leaseName, lease) -> {
            if (lease.mustStop(now)) {
                stop(now, leaseName, lease, "its lease was not renewed", steps);
            }
            if (lease.isOverdue(now)) {
                markStopped(now, leaseName, lease, null);
            }
        });
        if (polls.isDue(now, leases)) {
            poll(now, steps);
        }
        return steps;
    }

    private void poll(double now, List<Step> steps) {
        boolean otherVoter = polls.shouldTryOtherVoter();
        long sequence = polls.sent(now);
        LeaseRequest request = leases.request(identity, sequence, eligible && !shuttingDown);
        steps.add(new Step.Send(request, otherVoter));
    }

    /** Seconds until {@link #tick} is due. */
    public double secondsUntilTick(double now) {
        double dueAt = Math.min(polls.nextPollAt(leases), leases.nextChangeAt());
        return Math.max(MIN_TICK_SECONDS, dueAt - now);
    }

    // ---- for operators

    /** How many polls were sent, and how many of the latest wait for their responses. */
    public String describeRequests() {
        return polls.describe();
    }

    /** By lease: its phase, token and seconds left. */
    public Map<String, String> describeLeases(double now) {
        Map<String, String> described = new TreeMap<>();
        leases.forEach((leaseName, lease) -> described.put(leaseName, lease.describe(now)));
        return described;
    }
}
