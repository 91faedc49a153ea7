package topazladder.cluster;

import io.microraft.model.message.RaftMessage;
import java.util.List;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.LoadReport;
import topazladder.endpoint.EjectionDirective;
import topazladder.endpoint.EndpointReport;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Gossip;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutStatus;

/**
 * A message between members of a cluster, or between an operator's client and a member. {@code net.codec} encodes them.
 */
public sealed interface ClusterMessage {

    /** A message of the membership protocol. */
    record MembershipGossip(Gossip gossip) implements ClusterMessage {
    }

    /** A Raft message of one voter to another. */
    record Consensus(RaftMessage message) implements ClusterMessage {
    }

    /**
     * A member polls the leader for its leases.
     *
     * @param address where the member listens: the leader may not have learned it from gossip yet
     * @param schema the latest message schema that the member can read
     * @param loadReport its load report
     * @param dependencyReports its reports on dependency endpoints; none where it calls none
     */
    record LeasePoll(LeaseRequest request, String address, int schema, LoadReport loadReport,
            List<EndpointReport> dependencyReports) implements ClusterMessage {

        /** A poll of a member that calls no dependency. */
        public LeasePoll(LeaseRequest ask, String address, int schema, LoadReport serving) {
            this(ask, address, schema, serving, List.of());
        }
    }

    /**
     * The leader's decisions on all dependency endpoints. Those that it does not list are in use.
     *
     * @param term in which the sender leads
     */
    record DependencyDecisions(long term, List<EjectionDirective> decisions) implements ClusterMessage {
    }

    /** The leader's response to a poll. */
    record LeasePollResponse(LeaseResponse response) implements ClusterMessage {
    }

    /**
     * Names the leader, in response to a message that only the leader can handle.
     *
     * @param name of the leader, or empty where the sender knows none
     * @param address where the leader listens, or empty where the sender does not know it; the receiver may not have
     *     learned it from gossip yet
     */
    record LeaderHint(String name, String address) implements ClusterMessage {

        /** A hint without an address. */
        public LeaderHint(String name) {
            this(name, "");
        }
    }

    /** The leader has news for a member, which should poll at once. */
    record WakeUp() implements ClusterMessage {
    }

    /** The leader permits a member to shut down; it confirms with {@link ShutdownRequest} before it does. */
    record ShutdownPermission(long token) implements ClusterMessage {
    }

    /** A member that was permitted to shut down wants to do so now. */
    record ShutdownRequest(MemberIdentity from, long token) implements ClusterMessage {
    }

    /**
     * The shutdown is committed to the log: the member shuts down now.
     *
     * @param version to be restarted with, or empty for the version that it runs
     */
    record ShutdownApproval(long token, String version) implements ClusterMessage {
    }

    /**
     * The rollout controller proposes operations to the leader, which responds with {@link RolloutState}. Without
     * operations it is a poll.
     *
     * @param activity what the controller is doing, in words, for operators
     */
    record RolloutProposal(MemberIdentity from, long sequence, List<RolloutCommand> operations,
            String activity) implements ClusterMessage {
    }

    /**
     * The state of the rollout at the leader.
     *
     * @param sequence of the {@link RolloutProposal} that it responds to
     */
    record RolloutState(long sequence, RolloutStatus view) implements ClusterMessage {
    }

    /**
     * A member shuts down without the group's permission, and tells it so.
     *
     * @param by who or what has told the member to
     */
    record LeaveNotice(MemberIdentity from, String by) implements ClusterMessage {
    }

    /**
     * A voter whose data folder was empty asks to be added to the group, under a folder id that was never used before.
     */
    record JoinRequest(VoterEndpoint endpoint) implements ClusterMessage {
    }

    /**
     * The group has added the voter that asked.
     *
     * @param voters the voters that the group was formed with
     * @param groupGeneration the group generation: how often the group was formed anew by hand
     */
    record JoinConfirmation(VoterEndpoint endpoint, List<VoterEndpoint> voters,
            long groupGeneration) implements ClusterMessage {
    }

    /** An operator's command, answered by {@link CommandResponse} with the same number. */
    record CommandRequest(long requestId, Command command) implements ClusterMessage {
    }

    /**
     * The result of an operator's command.
     *
     * @param done whether it was carried out
     * @param text in words, or a JSON object for commands that query
     */
    record CommandResponse(long requestId, boolean done, String text) implements ClusterMessage {
    }

    /**
     * What the member that probes a dependency for all has found.
     *
     * @param target the dependency
     * @param reachable whether it could be reached
     * @param ageSeconds seconds since the probe
     * @param fencingToken the fencing token of the probing lease
     */
    record ProbeResult(String target, boolean reachable, double ageSeconds,
            long fencingToken) implements ClusterMessage {
    }

    /**
     * An operator's command.
     *
     * @param leaseName name of the lease that it is about, or empty
     * @param text a member's name, a reason or a plan, by kind
     */
    record Command(Kind kind, String leaseName, String text) {

        /** Sent by ordinal: the order stays. */
        public enum Kind {
            STATUS, DUTIES, HAND_OVER, HALT, RESUME, OUTS, DRAIN, UNDRAIN, GIVE_UP, HOLD_DRAINS, GO_ON,
            RELEASE_START, RELEASE_STATUS, RELEASE_HALT, RELEASE_RESUME, RELEASE_BACK
        }
    }
}
