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

/** One message between members of a hall, each of a type of its own; {@code net.codec} tells how it travels. */
public sealed interface Saying {

    record Membership(Gossip gossip) implements Saying {
    }

    /** From voter to voter, the library's own. */
    record Consensus(RaftMessage message) implements Saying {
    }

    /**
     * @param address where the asker hears: whoever leads may not have heard of it yet
     * @param schema of what the asker can read
     * @param serving what it did of late
     * @param below how the servers below look to it; none where it calls none
     */
    record Asking(LeaseRequest ask, String address, int schema, LoadReport serving,
            List<Report> below) implements Saying {

        public Asking(LeaseRequest ask, String address, int schema, LoadReport serving) {
            this(ask, address, schema, serving, List.of());
        }
    }

    /**
     * What the leader tells of all servers below.
     *
     * @param term in which it leads
     */
    record Belows(long term, List<Word> words) implements Saying {
    }

    record Answering(LeaseResponse answer) implements Saying {
    }

    /**
     * Whom to ask in place of the one that was asked; empty where it knows none.
     *
     * @param address where that one hears, or empty: in a large hall the asker may not have been told of it yet
     */
    record LeaderIs(String name, String address) implements Saying {

        public LeaderIs(String name) {
            this(name, "");
        }
    }

    record Nudge() implements Saying {
    }

    /** The one that is told may go, and says {@link Going} before it does. */
    record MayGo(long token) implements Saying {
    }

    record Going(MemberIdentity from, long token) implements Saying {
    }

    /** It is written down that it goes: it goes now, and comes back as that version; empty for as it is. */
    record Go(long token, String version) implements Saying {
    }

    /**
     * What the holder of the conducting duty would have agreed on; answered by {@link Conducted}.
     *
     * @param doing in words, for operators
     */
    record Conduct(MemberIdentity from, long number, List<ReleaseOp> ops, String doing) implements Saying {
    }

    record Conducted(long number, View view) implements Saying {
    }

    /** Told to leave by somebody else, it goes and says so. */
    record Leaving(MemberIdentity from, String by) implements Saying {
    }

    /** A voter with an empty folder asks to vote under its new birth. */
    record AsksToVote(VoterEndpoint who) implements Saying {
    }

    /** The group has taken it in; who founded it, and how often it was formed anew. */
    record TakenIn(VoterEndpoint who, List<VoterEndpoint> first, long formed) implements Saying {
    }

    /** An operator's command, by {@link Command}. */
    record Order(long number, Command command) implements Saying {
    }

    /** What became of it, in words; for {@link Command.Kind#STATUS} and its like, a JSON object. */
    record Told(long number, boolean done, String text) implements Saying {
    }

    /** What an observation is worth to others that would have to make it themselves. */
    record Found(String subject, boolean well, double age, long token) implements Saying {
    }

    /** @param duty the duty it is about, or empty; @param text a member, or a reason */
    record Command(Kind kind, String duty, String text) {
        public enum Kind {
            STATUS, DUTIES, HAND_OVER, HALT, RESUME, OUTS, DRAIN, UNDRAIN, GIVE_UP, HOLD_DRAINS, GO_ON,
            RELEASE_START, RELEASE_STATUS, RELEASE_HALT, RELEASE_RESUME, RELEASE_BACK
        }
    }
}
