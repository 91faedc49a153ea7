package topazladder.net.codec;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import topazladder.consensus.VoterEndpoint;
import topazladder.hall.proto.Append;
import topazladder.hall.proto.Appended;
import topazladder.hall.proto.ConsensusMessage;
import topazladder.hall.proto.EntryMessage;
import topazladder.hall.proto.Snapshot;
import topazladder.hall.proto.SnapshotAnswer;
import topazladder.hall.proto.Vote;

/**
 * What voters send each other for the consensus: the library's messages to protobuf and back. The names are Raft's:
 * AppendEntries, InstallSnapshot, PreVote, RequestVote and TimeoutNow (Raft dissertation, figures 3.1, 5.3 and 9.6).
 */
final class RaftMessages {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private RaftMessages() {}

    // ---- to protobuf

    static ConsensusMessage message(RaftMessage raft) {
        ConsensusMessage.Builder message = ConsensusMessage.newBuilder().setGroup((String) raft.getGroupId())
                .setSender(raft.getSender().getId().toString()).setTerm(raft.getTerm());
        if (raft instanceof AppendEntriesRequest append) {
            message.setAppend(append(append));
        } else if (raft instanceof AppendEntriesSuccessResponse success) {
            message.setAppended(appended(success.getLastLogIndex(), success.getQuerySequenceNumber(),
                    success.getFlowControlSequenceNumber()));
        } else if (raft instanceof AppendEntriesFailureResponse failure) {
            message.setNotAppended(appended(failure.getExpectedNextIndex(), failure.getQuerySequenceNumber(),
                    failure.getFlowControlSequenceNumber()));
        } else if (raft instanceof InstallSnapshotRequest install) {
            message.setSnapshot(installSnapshot(install));
        } else if (raft instanceof InstallSnapshotResponse response) {
            message.setSnapshotAnswer(installSnapshotResponse(response));
        } else if (raft instanceof PreVoteRequest request) {
            message.setPreVote(vote(request.getLastLogTerm(), request.getLastLogIndex()));
        } else if (raft instanceof VoteRequest request) {
            message.setVote(vote(request.getLastLogTerm(), request.getLastLogIndex()).setSticky(request.isSticky()));
        } else if (raft instanceof PreVoteResponse response) {
            message.setPreVoted(response.isGranted());
        } else if (raft instanceof VoteResponse response) {
            message.setVoted(response.isGranted());
        } else if (raft instanceof TriggerLeaderElectionRequest trigger) {
            message.setTakeOver(vote(trigger.getLastLogTerm(), trigger.getLastLogIndex()));
        } else {
            throw new IllegalArgumentException("no message of the group: " + raft);
        }
        return message.build();
    }

    private static Append.Builder append(AppendEntriesRequest request) {
        return Append.newBuilder().setPreviousTerm(request.getPreviousLogTerm())
                .setPreviousIndex(request.getPreviousLogIndex()).setCommit(request.getCommitIndex())
                .setQuery(request.getQuerySequenceNumber()).setFlow(request.getFlowControlSequenceNumber())
                .addAllEntries(request.getLogEntries().stream().map(LogMessages::entry).toList());
    }

    private static Appended.Builder appended(long index, long query, long flow) {
        return Appended.newBuilder().setIndex(index).setQuery(query).setFlow(flow);
    }

    private static Snapshot.Builder installSnapshot(InstallSnapshotRequest request) {
        Snapshot.Builder snapshot = Snapshot.newBuilder().setFromLeader(request.isSenderLeader())
                .setSnapshotTerm(request.getSnapshotTerm()).setSnapshotIndex(request.getSnapshotIndex())
                .setChunks(request.getTotalSnapshotChunkCount())
                .addAllSnapshotted(IdentityMessages.voterIds(request.getSnapshottedMembers()))
                .setMembers(LogMessages.configuration(request.getGroupMembersView()))
                .setQuery(request.getQuerySequenceNumber()).setFlow(request.getFlowControlSequenceNumber());
        if (request.getSnapshotChunk() != null) {
            snapshot.setChunk(LogMessages.chunk(request.getSnapshotChunk()));
        }
        return snapshot;
    }

    private static SnapshotAnswer.Builder installSnapshotResponse(InstallSnapshotResponse response) {
        return SnapshotAnswer.newBuilder().setSnapshotIndex(response.getSnapshotIndex())
                .setChunk(response.getRequestedSnapshotChunkIndex()).setQuery(response.getQuerySequenceNumber())
                .setFlow(response.getFlowControlSequenceNumber());
    }

    private static Vote.Builder vote(int lastLogTerm, long lastLogIndex) {
        return Vote.newBuilder().setLastTerm(lastLogTerm).setLastIndex(lastLogIndex);
    }

    // ---- from protobuf

    /** What all messages bear. */
    private record Envelope(String group, VoterEndpoint sender, int term) {
    }

    static RaftMessage message(ConsensusMessage message) throws MalformedMessageException {
        Envelope envelope = new Envelope(IdentityMessages.name(message.getGroup()),
                IdentityMessages.voter(message.getSender()), message.getTerm());
        return switch (message.getWhatCase()) {
            case APPEND -> append(envelope, message.getAppend());
            case APPENDED -> appendSuccess(envelope, message.getAppended());
            case NOT_APPENDED -> appendFailure(envelope, message.getNotAppended());
            case SNAPSHOT -> installSnapshot(envelope, message.getSnapshot());
            case SNAPSHOT_ANSWER -> installSnapshotResponse(envelope, message.getSnapshotAnswer());
            case PRE_VOTE -> preVote(envelope, message.getPreVote());
            case VOTE -> vote(envelope, message.getVote());
            case PRE_VOTED -> MODEL.createPreVoteResponseBuilder().setGroupId(envelope.group())
                    .setSender(envelope.sender()).setTerm(envelope.term()).setGranted(message.getPreVoted()).build();
            case VOTED -> MODEL.createVoteResponseBuilder().setGroupId(envelope.group())
                    .setSender(envelope.sender()).setTerm(envelope.term()).setGranted(message.getVoted()).build();
            case TAKE_OVER -> triggerElection(envelope, message.getTakeOver());
            case WHAT_NOT_SET -> throw new MalformedMessageException(
                    "a message of the group that this version does not know");
        };
    }

    private static RaftMessage append(Envelope envelope, Append append) throws MalformedMessageException {
        List<LogEntry> entries = new ArrayList<>();
        for (EntryMessage entry : append.getEntriesList()) {
            entries.add(LogMessages.entry(entry));
        }
        return MODEL.createAppendEntriesRequestBuilder()
                .setGroupId(envelope.group()).setSender(envelope.sender()).setTerm(envelope.term())
                .setPreviousLogTerm(append.getPreviousTerm()).setPreviousLogIndex(append.getPreviousIndex())
                .setCommitIndex(append.getCommit()).setLogEntries(entries).setQuerySequenceNumber(append.getQuery())
                .setFlowControlSequenceNumber(append.getFlow()).build();
    }

    private static RaftMessage appendSuccess(Envelope envelope, Appended appended) {
        return MODEL.createAppendEntriesSuccessResponseBuilder()
                .setGroupId(envelope.group()).setSender(envelope.sender()).setTerm(envelope.term())
                .setLastLogIndex(appended.getIndex()).setQuerySequenceNumber(appended.getQuery())
                .setFlowControlSequenceNumber(appended.getFlow()).build();
    }

    private static RaftMessage appendFailure(Envelope envelope, Appended notAppended) {
        return MODEL.createAppendEntriesFailureResponseBuilder()
                .setGroupId(envelope.group()).setSender(envelope.sender()).setTerm(envelope.term())
                .setExpectedNextIndex(notAppended.getIndex()).setQuerySequenceNumber(notAppended.getQuery())
                .setFlowControlSequenceNumber(notAppended.getFlow()).build();
    }

    private static RaftMessage installSnapshot(Envelope envelope, Snapshot snapshot) throws MalformedMessageException {
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId(envelope.group()).setSender(envelope.sender()).setTerm(envelope.term())
                .setSenderLeader(snapshot.getFromLeader()).setSnapshotTerm(snapshot.getSnapshotTerm())
                .setSnapshotIndex(snapshot.getSnapshotIndex()).setTotalSnapshotChunkCount(snapshot.getChunks())
                .setSnapshotChunk(snapshot.hasChunk() ? LogMessages.chunk(snapshot.getChunk()) : null)
                .setSnapshottedMembers(IdentityMessages.voters(snapshot.getSnapshottedList()))
                .setGroupMembersView(LogMessages.configuration(snapshot.getMembers()))
                .setQuerySequenceNumber(snapshot.getQuery()).setFlowControlSequenceNumber(snapshot.getFlow()).build();
    }

    private static RaftMessage installSnapshotResponse(Envelope envelope, SnapshotAnswer answer) {
        return MODEL.createInstallSnapshotResponseBuilder()
                .setGroupId(envelope.group()).setSender(envelope.sender()).setTerm(envelope.term())
                .setSnapshotIndex(answer.getSnapshotIndex()).setRequestedSnapshotChunkIndex(answer.getChunk())
                .setQuerySequenceNumber(answer.getQuery()).setFlowControlSequenceNumber(answer.getFlow()).build();
    }

    private static RaftMessage preVote(Envelope envelope, Vote vote) {
        return MODEL.createPreVoteRequestBuilder()
                .setGroupId(envelope.group()).setSender(envelope.sender()).setTerm(envelope.term())
                .setLastLogTerm(vote.getLastTerm()).setLastLogIndex(vote.getLastIndex()).build();
    }

    private static RaftMessage vote(Envelope envelope, Vote vote) {
        return MODEL.createVoteRequestBuilder()
                .setGroupId(envelope.group()).setSender(envelope.sender()).setTerm(envelope.term())
                .setLastLogTerm(vote.getLastTerm()).setLastLogIndex(vote.getLastIndex()).setSticky(vote.getSticky())
                .build();
    }

    private static RaftMessage triggerElection(Envelope envelope, Vote vote) {
        return MODEL.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(envelope.group()).setSender(envelope.sender()).setTerm(envelope.term())
                .setLastLogTerm(vote.getLastTerm()).setLastLogIndex(vote.getLastIndex()).build();
    }
}
