package topazladder.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.TreeMap;
import topazladder.lease.LeaseResponse.Grant;

/**
 * The member side of the lease protocol: polls the leader, tracks the expiry of the leases it holds, and starts and
 * stops the tasks that run under them.
 *
 * <p>Invariants:
 *
 * <ul>
 * <li>A lease counts from the moment before its request was sent and lasts at most {@code durationSeconds} from there.
 * A response that arrives late does not extend it.
 * <li>A task is told to stop when less than 15% of its lease is left, and is allowed no effect after expiry, whether or
 * not it has reported that it stopped. The leader grants the lease again only after that, as it adds slack for clocks
 * that run at different rates.
 * <li>A task is started once under each token, and never before the task under the previous token has stopped.
 * </ul>
 *
 * <p>All times are seconds of one monotonic clock that keeps running while the process is stalled. A task calls
 * {@link #fencingToken} just before each effect, and passes the token to the system that the effect changes. All calls
 * come on one thread.
 */
public class LeaseHolder {
    private static final double MIN_TICK_SECONDS = 0.001;

    /** An action that the caller has to carry out. */
    public sealed interface Step {

        /**
         * Send a request to the leader.
         *
         * @param otherVoter whether to send it to another voter, as the last request got no response
         */
        record Send(LeaseRequest request, boolean otherVoter) implements Step {
        }

        /** Start the task under that token. */
        record Start(String leaseName, long fencingToken) implements Step {
        }

        /**
         * Stop the task, and call {@link LeaseHolder#taskStopped} once it has stopped.
         *
         * @param withinSeconds time left until no effect is allowed any more
         */
        record Stop(String leaseName, long fencingToken, double withinSeconds, String reason) implements Step {
        }
    }

    private final MemberIdentity identity;
    private final HeldLeases leases = new HeldLeases();
    private final PollSchedule polls = new PollSchedule();
    private boolean eligible;
    private boolean shuttingDown;

    /** @param identity the identity of this process */
    public LeaseHolder(MemberIdentity identity) {
        this.identity = identity;
    }

    /** The identity of this process. */
    public MemberIdentity identity() {
        return identity;
    }

    // ---- lifecycle

    /** Sets whether this member may be granted leases; it keeps those it holds until the leader requests a release. */
    public List<Step> setEligible(double now, boolean isEligible) {
        if (eligible != isEligible) {
            eligible = isEligible;
            polls.requestPoll();
        }
        return tick(now);
    }

    /** Begins a graceful shutdown: all tasks are told to stop, and no lease is accepted any more. */
    public List<Step> shutDown(double now) {
        shuttingDown = true;
        List<Step> steps = new ArrayList<>();
        leases.forEach((leaseName, lease) -> stop(now, leaseName, lease, "instance is shutting down", steps));
        polls.requestPoll();
        steps.addAll(tick(now));
        return steps;
    }

    /** Whether the process may end: no task is left to stop, and no stop is left to report. */
    public boolean isIdle() {
        return leases.isEmpty();
    }

    // ---- tasks

    /** The fencing token for an effect now; empty if no effect is allowed. Must be called before each effect. */
    public OptionalLong fencingToken(double now, String leaseName) {
        HeldLease lease = leases.get(leaseName);
        return lease != null && lease.allowsEffects(now) ? OptionalLong.of(lease.fencingToken())
                : OptionalLong.empty();
    }

    /**
     * The task has stopped and has no further effect under that token.
     *
     * @param failure why the task failed; null if it stopped normally
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
            lease.markStopping();
            steps.add(new Step.Stop(leaseName, lease.fencingToken(), lease.remainingSeconds(now), reason));
        }
    }

    private void markStopped(double now, String leaseName, HeldLease lease, String failure) {
        leases.markStopped(now, leaseName, lease, failure);
        polls.requestPoll();
    }

    // ---- responses

    /** Handles a response, which may be late or a duplicate. A response to an unknown request is ignored. */
    public List<Step> handleResponse(double now, LeaseResponse response) {
        List<Step> steps = new ArrayList<>();
        OptionalDouble requestedAt = polls.recordResponse(response);
        if (requestedAt.isEmpty()) {
            return steps;
        }
        double leaseStartAt = leaseStart(requestedAt.getAsDouble(), now);
        for (Grant grant : response.grants()) {
            handleGrant(now, leaseStartAt + grant.durationSeconds(), grant, steps);
        }
        leases.removeAcknowledged(response, requestedAt.getAsDouble());
        steps.addAll(tick(now));
        return steps;
    }

    /**
     * When a lease starts to count that a response has granted. Counted from the arrival of the response, it would last
     * longer here than the leader assumes.
     */
    protected double leaseStart(double requestedAt, double now) {
        return requestedAt;
    }

    private void handleGrant(double now, double expiresAt, Grant grant, List<Step> steps) {
        HeldLease lease = leases.get(grant.leaseName());
        if (lease != null && lease.fencingToken() == grant.fencingToken()) {
            handleRenewal(now, expiresAt, lease, grant, steps);
        } else if (lease != null && lease.fencingToken() > grant.fencingToken()) {
            return; // a response with a later token arrived first
        } else if (leases.hasEnded(grant.leaseName(), grant.fencingToken())) {
            reportEndAgain(now, expiresAt, grant);
        } else if (lease != null && !lease.isStopped()) {
            // The task under the previous token still runs: starting it now would run it twice at the same time.
            stop(now, grant.leaseName(), lease, "lease was granted again under a later token", steps);
        } else {
            startTask(now, expiresAt, grant, steps);
        }
    }

    private void handleRenewal(double now, double expiresAt, HeldLease lease, Grant grant, List<Step> steps) {
        if (!lease.isHolding()) {
            return;
        }
        lease.renew(expiresAt);
        if (grant.stopRequested()) {
            stop(now, grant.leaseName(), lease, "leader requested the release", steps);
        }
    }

    /**
     * Reports again that a lease has ended. The leader that got the first report may have stepped down before the
     * release was committed; without another report, its successor would renew the lease forever.
     */
    private void reportEndAgain(double now, double expiresAt, Grant grant) {
        HeldLease lease = leases.get(grant.leaseName());
        if (lease == null) {
            lease = new HeldLease(grant.fencingToken(), grant.durationSeconds(), expiresAt);
            leases.put(grant.leaseName(), lease);
        }
        markStopped(now, grant.leaseName(), lease, null);
    }

    private void startTask(double now, double expiresAt, Grant grant, List<Step> steps) {
        HeldLease lease = new HeldLease(grant.fencingToken(), grant.durationSeconds(), expiresAt);
        leases.put(grant.leaseName(), lease);
        if (now >= expiresAt || shuttingDown || grant.stopRequested()) {
            markStopped(now, grant.leaseName(), lease, null);
        } else {
            steps.add(new Step.Start(grant.leaseName(), grant.fencingToken()));
        }
    }

    // ---- time

    /** Polls immediately, for example because the leader has granted this member a lease. */
    public List<Step> wakeUp(double now) {
        polls.requestPoll();
        return tick(now);
    }

    /** Stops tasks whose leases are about to expire, and polls if due. To be called after {@link #secondsUntilTick}. */
    public List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>();
        leases.forEach((leaseName, lease) -> {
            if (lease.mustStop(now)) {
                stop(now, leaseName, lease, "lease was not renewed in time", steps);
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
        long sequence = polls.recordPoll(now);
        LeaseRequest request = leases.request(identity, sequence, eligible && !shuttingDown);
        steps.add(new Step.Send(request, otherVoter));
    }

    /** Seconds until {@link #tick} is due. */
    public double secondsUntilTick(double now) {
        double dueAt = Math.min(polls.nextPollAt(leases), leases.nextChangeAt());
        return Math.max(MIN_TICK_SECONDS, dueAt - now);
    }

    // ---- diagnostics

    /** Number of polls sent, and how many of the latest ones are unanswered. */
    public String describePolls() {
        return polls.describe();
    }

    /** Phase, fencing token and remaining seconds of each lease, by lease name. */
    public Map<String, String> describeLeases(double now) {
        Map<String, String> described = new TreeMap<>();
        leases.forEach((leaseName, lease) -> described.put(leaseName, lease.describe(now)));
        return described;
    }
}
