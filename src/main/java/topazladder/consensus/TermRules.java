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
 * Enforces Raft's rules on terms where MicroRaft 0.7 does not: a server ignores messages of an earlier term, and adopts
 * a later term from any message (Raft dissertation, section 3.3).
 */
final class TermRules {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private TermRules() {}

    /**
     * Whether a message is a response to a request of an earlier term. The library checks a response's term only if it
     * is higher than its own. A leader that lost and regained the leadership would therefore accept a delayed response
     * of its earlier term: as the acknowledgement of entries that the follower may have dropped since, or as the
     * confirmation of a query that was sent later.
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

    /**
     * Whether a rejected pre-vote reveals a later term. The response carries the requested term, or the term of the
     * rejecting voter if that is higher.
     */
    static boolean revealsLaterTerm(RaftMessage message, int currentTerm) {
        return message instanceof PreVoteResponse response && !response.isGranted()
                && response.getTerm() > currentTerm + 1;
    }

    /**
     * A message that makes the library adopt the sender's term. The library ignores the term of a rejected pre-vote, so
     * a voter that reached a high term by campaigning alone, with a short log, and one with a longer log in a lower
     * term would reject each other for ever. The result is a vote request in the sender's name that claims an empty
     * log, which no voter with a log grants.
     */
    static RaftMessage termUpdate(RaftMessage message) {
        return MODEL.createVoteRequestBuilder().setGroupId(message.getGroupId()).setSender(message.getSender())
                .setTerm(message.getTerm()).setLastLogTerm(0).setLastLogIndex(0).setSticky(true).build();
    }
}
