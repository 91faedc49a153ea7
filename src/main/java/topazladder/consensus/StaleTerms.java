package topazladder.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;

/**
 * Holds messages to Raft's rules on terms where MicroRaft 0.7 does not: a server ignores messages of an earlier term,
 * and takes over a later term whoever tells it (Raft dissertation, section 3.3).
 */
final class StaleTerms {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private StaleTerms() {}

    /**
     * Whether a message answers what this voter asked in an earlier term. The library looks at an answer's term only
     * where it is higher: one that was long on its way would count for a leader that led before and leads again, as a
     * follower's acknowledgement of entries that it may have dropped since, or of a query that was not asked yet.
     */
    static boolean isStaleResponse(RaftMessage message, int currentTerm) {
        return message.getTerm() < currentTerm && isResponse(message);
    }

    private static boolean isResponse(RaftMessage message) {
        return message instanceof AppendEntriesSuccessResponse
                || message instanceof AppendEntriesFailureResponse
                || message instanceof InstallSnapshotResponse
                || message instanceof VoteResponse
                || message instanceof PreVoteResponse;
    }

    /** Whether a refused pre-vote tells of a later term. It bears the term asked for, or the refuser's where higher. */
    static boolean tellsLaterTerm(RaftMessage message, int currentTerm) {
        return message instanceof PreVoteResponse response && !response.isGranted()
                && response.getTerm() > currentTerm + 1;
    }

    /**
     * The sender's term in a message of which the library takes over the term. It passes over that of a refused
     * pre-vote: a voter that campaigned alone into high terms, with a short log, and one with the longer log in a lower
     * term then refuse each other for ever. This asks, in the sender's name, for a vote that no voter with a log gives.
     */
    static RaftMessage termOnly(RaftMessage message) {
        return MODEL.createVoteRequestBuilder().setGroupId(message.getGroupId()).setSender(message.getSender())
                .setTerm(message.getTerm()).setLastLogTerm(0).setLastLogIndex(0).setSticky(true).build();
    }
}
