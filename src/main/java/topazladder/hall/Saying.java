package topazladder.hall;

import io.microraft.model.message.RaftMessage;
import java.util.List;
import topazladder.below.Report;
import topazladder.below.Word;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.LoadReport;
import topazladder.lease.LeaseRequest;
import topazladder.lease.LeaseResponse;
import topazladder.lease.MemberIdentity;
import topazladder.membership.Gossip;
import topazladder.release.ReleaseOp;
import topazladder.release.View;

/**
 * A message between members of a cluster, or between an operator's client and a member. {@code net.codec} encodes them.
 */
public sealed interface Saying {

    /** A message of the membership protocol. */
    record Membership(Gossip gossip) implements Saying {
    }

    /** A Raft message of one voter to another. */
    record Consensus(RaftMessage message) implements Saying {
    }

    /**
     * A member polls the leader for its leases.
     *
     * @param address where the member listens: the leader may not have learned it from gossip yet
     * @param schema the latest message schema that the member can read
     * @param serving its load report
     * @param below its reports on dependency endpoints; none where it calls none
     */
    record Asking(LeaseRequest ask, String address, int schema, LoadReport serving,
            List<Report> below) implements Saying {

        /** A poll of a member that calls no dependency. */
        public Asking(LeaseRequest ask, String address, int schema, LoadReport serving) {
            this(ask, address, schema, serving, List.of());
        }
    }

    /**
     * The leader's decisions on all dependency endpoints. Those that it does not list are in use.
     *
     * @param term in which the sender leads
     */
    record Belows(long term, List<Word> words) implements Saying {
    }

    /** The leader's response to a poll. */
    record Answering(LeaseResponse answer) implements Saying {
    }

    /**
     * Names the leader, in response to a message that only the leader can handle.
     *
     * @param name of the leader, or empty where the sender knows none
     * @param address where the leader listens, or empty where the sender does not know it; the receiver may not have
     *     learned it from gossip yet
     */
    record LeaderIs(String name, String address) implements Saying {

        /** A hint without an address. */
        public LeaderIs(String name) {
            this(name, "");
        }
    }

    /** The leader has news for a member, which should poll at once. */
    record Nudge() implements Saying {
    }

    /** The leader permits a member to shut down; it confirms with {@link Going} before it does. */
    record MayGo(long token) implements Saying {
    }

    /** A member that was permitted to shut down wants to do so now. */
    record Going(MemberIdentity from, long token) implements Saying {
    }

    /**
     * The shutdown is committed to the log: the member shuts down now.
     *
     * @param version to be restarted with, or empty for the version that it runs
     */
    record Go(long token, String version) implements Saying {
    }

    /**
     * The rollout controller proposes operations to the leader, which responds with {@link Conducted}. Without
     * operations it is a poll.
     *
     * @param doing what the controller is doing, in words, for operators
     */
    record Conduct(MemberIdentity from, long number, List<ReleaseOp> ops, String doing) implements Saying {
    }

    /**
     * The state of the rollout at the leader.
     *
     * @param number of the {@link Conduct} that it responds to
     */
    record Conducted(long number, View view) implements Saying {
    }

    /**
     * A member shuts down without the group's permission, and tells it so.
     *
     * @param by who or what has told the member to
     */
    record Leaving(MemberIdentity from, String by) implements Saying {
    }

    /** A voter whose folder was empty asks to be added to the group, under a birth that was never used before. */
    record AsksToVote(VoterEndpoint who) implements Saying {
    }

    /**
     * The group has added the voter that asked.
     *
     * @param first the voters that the group was formed with
     * @param formed the group generation: how often the group was formed anew by hand
     */
    record TakenIn(VoterEndpoint who, List<VoterEndpoint> first, long formed) implements Saying {
    }

    /** An operator's command, answered by {@link Told} with the same number. */
    record Order(long number, Command command) implements Saying {
    }

    /**
     * The result of an operator's command.
     *
     * @param done whether it was carried out
     * @param text in words, or a JSON object for commands that query
     */
    record Told(long number, boolean done, String text) implements Saying {
    }

    /**
     * What the member that probes a dependency for all has found.
     *
     * @param subject the dependency
     * @param well whether it could be reached
     * @param age seconds since the probe
     * @param token the fencing token of the probing lease
     */
    record Found(String subject, boolean well, double age, long token) implements Saying {
    }

    /**
     * An operator's command.
     *
     * @param duty name of the lease that it is about, or empty
     * @param text a member's name, a reason or a plan, by kind
     */
    record Command(Kind kind, String duty, String text) {

        /** Sent by ordinal: the order stays. */
        public enum Kind {
            STATUS, DUTIES, HAND_OVER, HALT, RESUME, OUTS, DRAIN, UNDRAIN, GIVE_UP, HOLD_DRAINS, GO_ON,
            RELEASE_START, RELEASE_STATUS, RELEASE_HALT, RELEASE_RESUME, RELEASE_BACK
        }
    }
}
