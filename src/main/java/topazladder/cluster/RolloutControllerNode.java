package topazladder.cluster;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import topazladder.lease.MemberIdentity;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutController;
import topazladder.service.Scheduler;

/**
 * Runs the rollout controller at the holder of its lease. It polls the leader for the state of the rollout, decides,
 * and proposes operations to the leader. Messages may be lost: a poll that is not answered in time is repeated, and
 * what is still to be proposed is decided anew from the next response. Without the lease nothing is sent.
 */
public final class RolloutControllerNode {
    private static final double POLL_SECONDS = 0.5;
    private static final double RESPONSE_TIMEOUT_SECONDS = 1.5;

    private final MemberIdentity identity;
    private final String leaseName;
    private final Scheduler timers;
    private final DoubleSupplier clock;
    private final LongSupplier epochMillis;
    private final ClusterMember member;
    private final Function<RolloutCommand.Proposer, RolloutController> controllerFactory;
    private RolloutController controller; // null while the lease is not held
    private Supplier<OptionalLong> permission = OptionalLong::empty;
    private long sequence;
    private long generation;
    private boolean responseHandled;

    /**
     * Creates a node that does nothing before {@link #start}.
     *
     * @param controllerFactory makes the rollout controller of one lease; tests pass one with an injected defect
     */
    public RolloutControllerNode(MemberIdentity identity, String leaseName, Scheduler timers, DoubleSupplier clock,
            LongSupplier epochMillis, ClusterMember member,
            Function<RolloutCommand.Proposer, RolloutController> controllerFactory) {
        this.identity = identity;
        this.leaseName = leaseName;
        this.timers = timers;
        this.clock = clock;
        this.epochMillis = epochMillis;
        this.member = member;
        this.controllerFactory = controllerFactory;
    }

    /**
     * Starts a controller under a new lease.
     *
     * @param token the fencing token of the lease
     * @param leasePermission the fencing token while the lease is held, else empty
     */
    public void start(long token, Supplier<OptionalLong> leasePermission) {
        permission = leasePermission;
        controller = controllerFactory.apply(new RolloutCommand.Proposer(leaseName, token, 0));
        generation++;
        send(List.of());
    }

    /** Drops the controller and its timers. */
    public void stop() {
        generation++;
        controller = null;
        permission = OptionalLong::empty;
    }

    /** Sends these operations to the leader; without any it is a poll. */
    private void send(List<RolloutCommand> operations) {
        if (controller == null || permission.get().isEmpty()) {
            return;
        }
        long sent = ++sequence;
        responseHandled = false;
        member.sendToLeader(new ClusterMessage.RolloutProposal(identity, sent, operations, controller.progress()));
        schedulePoll(RESPONSE_TIMEOUT_SECONDS, sent);
    }

    /** Polls after a delay, unless something was sent since the message with this sequence number. */
    private void schedulePoll(double delaySeconds, long afterSequence) {
        long scheduledIn = generation;
        timers.schedule(delaySeconds, () -> {
            if (scheduledIn == generation && afterSequence == sequence) {
                send(List.of());
            }
        });
    }

    /**
     * Handles the leader's response. Only the response to the latest message counts: an earlier one does not show what
     * was proposed since.
     */
    public void handleResponse(ClusterMessage.RolloutState response) {
        if (controller == null || response.sequence() != sequence || responseHandled || permission.get().isEmpty()) {
            return;
        }
        responseHandled = true;
        List<RolloutCommand> operations =
                controller.nextCommands(clock.getAsDouble(), epochMillis.getAsLong(), response.view());
        if (operations.isEmpty()) {
            schedulePoll(POLL_SECONDS, response.sequence());
        } else {
            send(operations);
        }
    }
}
