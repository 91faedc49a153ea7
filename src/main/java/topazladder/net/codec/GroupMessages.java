package topazladder.net.codec;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
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
import java.util.Collection;
import java.util.List;
import topazladder.consensus.ReplicatedState;
import topazladder.consensus.VoterEndpoint;
import topazladder.disruption.DisruptionCommand;
import topazladder.hall.proto.Append;
import topazladder.hall.proto.Appended;
import topazladder.hall.proto.ChunkMessage;
import topazladder.hall.proto.ConsensusMessage;
import topazladder.hall.proto.DefineOp;
import topazladder.hall.proto.DutyOp;
import topazladder.hall.proto.DutyStateMessage;
import topazladder.hall.proto.DutyTermsMessage;
import topazladder.hall.proto.EntryMessage;
import topazladder.hall.proto.LeadOp;
import topazladder.hall.proto.LedgerCopy;
import topazladder.hall.proto.LossMessage;
import topazladder.hall.proto.MemberId;
import topazladder.hall.proto.MembersOp;
import topazladder.hall.proto.MembersView;
import topazladder.hall.proto.OpMessage;
import topazladder.hall.proto.Snapshot;
import topazladder.hall.proto.SnapshotAnswer;
import topazladder.hall.proto.Vote;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseState;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.MemberIdentity;
import topazladder.release.ReleaseOp;

/** The group's consensus as messages, and what its voters keep: the library's types to protobuf and back. */
public final class GroupMessages {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final int MOST_VOTERS = 16;
    private static final int LONGEST_NAME = 200;

    private GroupMessages() {}

    // ---- names

    static MemberId member(MemberIdentity m) {
        return MemberId.newBuilder().setName(m.name()).setLife(m.incarnation()).build();
    }

    static MemberIdentity member(MemberId m) throws MalformedMessageException {
        return new MemberIdentity(name(m.getName()), m.getLife());
    }

    static String name(String name) throws MalformedMessageException {
        if (name.isEmpty() || name.length() > LONGEST_NAME) {
            throw new MalformedMessageException("a name of " + name.length() + " characters");
        }
        return name;
    }

    private static VoterEndpoint endpoint(String id) throws MalformedMessageException {
        try {
            return VoterEndpoint.of(name(id));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("no voter: " + id);
        }
    }

    private static List<String> ids(Collection<? extends RaftEndpoint> all) {
        return all.stream().map(e -> e.getId().toString()).toList();
    }

    private static List<RaftEndpoint> endpoints(List<String> ids) throws MalformedMessageException {
        if (ids.size() > MOST_VOTERS) {
            throw new MalformedMessageException(ids.size() + " voters");
        }
        List<RaftEndpoint> all = new ArrayList<>();
        for (String id : ids) {
            all.add(endpoint(id));
        }
        return all;
    }

    // ---- operations

    /** What stands in the log: an operation on duties, or the library's own on the voters. */
    public static OpMessage op(Object operation) {
        OpMessage.Builder b = OpMessage.newBuilder();
        if (operation instanceof LeaseCommand.Define d) {
            DefineOp.Builder define = DefineOp.newBuilder();
            d.leases().forEach(t -> define.addDuties(terms(t)));
            b.setDefine(define);
        } else if (operation instanceof LeaseCommand.Grant g) {
            b.setGrant(
                    DutyOp.newBuilder().setDuty(g.leaseName()).setTo(member(g.holder())).setToken(g.previousToken()));
        } else if (operation instanceof LeaseCommand.Release r) {
            b.setRelease(duty(r.leaseName(), r.fencingToken()));
        } else if (operation instanceof LeaseCommand.Expire e) {
            b.setExpire(duty(e.leaseName(), e.fencingToken()));
        } else if (operation instanceof LeaseCommand.HolderSettled s) {
            b.setSettled(duty(s.leaseName(), s.fencingToken()));
        } else if (operation instanceof LeaseCommand.HolderCrashed c) {
            b.setCrashed(duty(c.leaseName(), c.fencingToken()));
        } else if (operation instanceof LeaseCommand.HolderFailed f) {
            b.setFailed(duty(f.leaseName(), f.fencingToken()).setText(f.reason()));
        } else if (operation instanceof LeaseCommand.Suspend h) {
            b.setHalt(duty(h.leaseName(), 0).setText(h.reason()));
        } else if (operation instanceof LeaseCommand.Resume r) {
            b.setResume(duty(r.leaseName(), 0));
        } else if (operation instanceof LeaseCommand.Transfer h) {
            b.setHandOver(duty(h.leaseName(), 0).setText(h.memberName()));
        } else if (operation instanceof LeaseCommand.BeginLeadership l) {
            b.setLead(LeadOp.newBuilder().setLeader(l.leader()).setNonce(l.nonce()));
        } else if (operation instanceof LeaseCommand.RaiseTokenFloor r) {
            b.setRaiseTokens(r.tokenFloor());
        } else if (operation instanceof DisruptionCommand o) {
            b.setOut(OutMessages.op(o));
        } else if (operation instanceof ReleaseOp r) {
            b.setReleaseOp(ReleaseMessages.op(r));
        } else if (operation instanceof UpdateRaftGroupMembersOp u) {
            b.setMembers(MembersOp.newBuilder().addAllMembers(ids(u.getMembers()))
                    .addAllVoting(ids(u.getVotingMembers()))
                    .setEndpoint(u.getEndpoint().getId().toString()).setMode(u.getMode().name()));
        } else {
            throw new IllegalArgumentException("no operation of the group: " + operation);
        }
        return b.build();
    }

    private static DutyOp.Builder duty(String duty, long token) {
        return DutyOp.newBuilder().setDuty(duty).setToken(token);
    }

    public static Object op(OpMessage m) throws MalformedMessageException {
        return switch (m.getOpCase()) {
            case DEFINE -> {
                List<LeaseSettings> all = new ArrayList<>();
                for (DutyTermsMessage t : m.getDefine().getDutiesList()) {
                    all.add(terms(t));
                }
                yield new LeaseCommand.Define(List.copyOf(all));
            }
            case GRANT -> new LeaseCommand.Grant(m.getGrant().getDuty(), member(m.getGrant().getTo()),
                    m.getGrant().getToken());
            case RELEASE -> new LeaseCommand.Release(m.getRelease().getDuty(), m.getRelease().getToken());
            case EXPIRE -> new LeaseCommand.Expire(m.getExpire().getDuty(), m.getExpire().getToken());
            case SETTLED -> new LeaseCommand.HolderSettled(m.getSettled().getDuty(), m.getSettled().getToken());
            case CRASHED -> new LeaseCommand.HolderCrashed(m.getCrashed().getDuty(), m.getCrashed().getToken());
            case FAILED -> new LeaseCommand.HolderFailed(m.getFailed().getDuty(), m.getFailed().getToken(),
                    m.getFailed().getText());
            case HALT -> new LeaseCommand.Suspend(m.getHalt().getDuty(), m.getHalt().getText());
            case RESUME -> new LeaseCommand.Resume(m.getResume().getDuty());
            case HAND_OVER -> new LeaseCommand.Transfer(m.getHandOver().getDuty(), m.getHandOver().getText());
            case LEAD -> new LeaseCommand.BeginLeadership(m.getLead().getLeader(), m.getLead().getNonce());
            case RAISE_TOKENS -> new LeaseCommand.RaiseTokenFloor(m.getRaiseTokens());
            case MEMBERS -> MODEL.createUpdateRaftGroupMembersOpBuilder()
                    .setMembers(endpoints(m.getMembers().getMembersList()))
                    .setVotingMembers(endpoints(m.getMembers().getVotingList()))
                    .setEndpoint(endpoint(m.getMembers().getEndpoint())).setMode(mode(m.getMembers().getMode()))
                    .build();
            case OUT -> OutMessages.op(m.getOut());
            case RELEASE_OP -> ReleaseMessages.op(m.getReleaseOp());
            case OP_NOT_SET -> throw new MalformedMessageException("an operation that this version does not know");
        };
    }

    private static MembershipChangeMode mode(String name) throws MalformedMessageException {
        try {
            return MembershipChangeMode.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("no change of voters: " + name);
        }
    }

    private static DutyTermsMessage terms(LeaseSettings t) {
        return DutyTermsMessage.newBuilder().setName(t.name()).setLease(t.durationSeconds())
                .setMostLosses(t.maxConsecutiveLosses()).build();
    }

    private static LeaseSettings terms(DutyTermsMessage t) throws MalformedMessageException {
        if (!(t.getLease() > 0)) {
            throw new MalformedMessageException("a lease of " + t.getLease());
        }
        return new LeaseSettings(name(t.getName()), t.getLease(), t.getMostLosses());
    }

    // ---- snapshots

    private static LedgerCopy copy(LeaseStateMachine.Snapshot c) {
        LedgerCopy.Builder b = LedgerCopy.newBuilder().setFloor(c.tokenFloor());
        for (LeaseState s : c.leases()) {
            DutyStateMessage.Builder d = DutyStateMessage.newBuilder().setTerms(terms(s.settings()))
                    .setToken(s.fencingToken())
                    .setWanted(s.preferredMember()).setPlaced(s.placedByOperator()).setIsHalted(s.isSuspended());
            if (s.isSuspended()) {
                d.setHalted(s.suspendedReason());
            }
            if (s.holder() != null) {
                d.setHolder(member(s.holder()));
            }
            s.losses().forEach(l -> d.addLosses(LossMessage.newBuilder().setToken(l.fencingToken())
                    .setHolder(member(l.holder())).setEnded(l.processEnded())));
            b.addDuties(d);
        }
        return b.build();
    }

    private static LeaseStateMachine.Snapshot copy(LedgerCopy c) throws MalformedMessageException {
        List<LeaseState> all = new ArrayList<>();
        for (DutyStateMessage s : c.getDutiesList()) {
            List<LeaseState.Loss> losses = new ArrayList<>();
            for (LossMessage l : s.getLossesList()) {
                losses.add(new LeaseState.Loss(l.getToken(), member(l.getHolder()), l.getEnded()));
            }
            all.add(new LeaseState(terms(s.getTerms()), s.getToken(), s.hasHolder() ? member(s.getHolder()) : null,
                    s.getIsHalted() ? s.getHalted() : null, s.getWanted(), s.getPlaced(), List.copyOf(losses)));
        }
        return new LeaseStateMachine.Snapshot(c.getFloor(), List.copyOf(all));
    }

    public static MembersView view(RaftGroupMembersView v) {
        return MembersView.newBuilder().setLogIndex(v.getLogIndex()).addAllMembers(ids(v.getMembers()))
                .addAllVoting(ids(v.getVotingMembers())).build();
    }

    public static RaftGroupMembersView view(MembersView v) throws MalformedMessageException {
        return MODEL.createRaftGroupMembersViewBuilder().setLogIndex(v.getLogIndex())
                .setMembers(endpoints(v.getMembersList())).setVotingMembers(endpoints(v.getVotingList())).build();
    }

    public static ChunkMessage chunk(SnapshotChunk c) {
        ReplicatedState.Copy all = (ReplicatedState.Copy) c.getOperation();
        ChunkMessage.Builder b = ChunkMessage.newBuilder().setIndex(c.getIndex()).setTerm(c.getTerm())
                .setChunk(c.getSnapshotChunkIndex()).setChunks(c.getSnapshotChunkCount())
                .setMembers(view(c.getGroupMembersView())).setCopy(copy(all.duties()))
                .setOuts(OutMessages.copy(all.outs()));
        if (all.release() != null) {
            b.setRelease(ReleaseMessages.release(all.release()));
        }
        return b.build();
    }

    public static SnapshotChunk chunk(ChunkMessage c) throws MalformedMessageException {
        return MODEL.createSnapshotChunkBuilder().setIndex(c.getIndex()).setTerm(c.getTerm())
                .setSnapshotChunkIndex(c.getChunk()).setSnapshotChunkCount(c.getChunks())
                .setGroupMembersView(view(c.getMembers()))
                .setOperation(new ReplicatedState.Copy(copy(c.getCopy()), OutMessages.copy(c.getOuts()),
                        c.hasRelease() ? ReleaseMessages.release(c.getRelease()) : null))
                .build();
    }

    public static EntryMessage entry(LogEntry e) {
        return EntryMessage.newBuilder().setIndex(e.getIndex()).setTerm(e.getTerm()).setOp(op(e.getOperation()))
                .build();
    }

    public static LogEntry entry(EntryMessage e) throws MalformedMessageException {
        return MODEL.createLogEntryBuilder().setIndex(e.getIndex()).setTerm(e.getTerm()).setOperation(op(e.getOp()))
                .build();
    }

    // ---- messages

    static ConsensusMessage consensus(RaftMessage m) {
        ConsensusMessage.Builder b = ConsensusMessage.newBuilder().setGroup((String) m.getGroupId())
                .setSender(m.getSender().getId().toString()).setTerm(m.getTerm());
        if (m instanceof AppendEntriesRequest a) {
            Append.Builder append = Append.newBuilder().setPreviousTerm(a.getPreviousLogTerm())
                    .setPreviousIndex(a.getPreviousLogIndex()).setCommit(a.getCommitIndex())
                    .setQuery(a.getQuerySequenceNumber()).setFlow(a.getFlowControlSequenceNumber());
            a.getLogEntries().forEach(e -> append.addEntries(entry(e)));
            b.setAppend(append);
        } else if (m instanceof AppendEntriesSuccessResponse a) {
            b.setAppended(Appended.newBuilder().setIndex(a.getLastLogIndex()).setQuery(a.getQuerySequenceNumber())
                    .setFlow(a.getFlowControlSequenceNumber()));
        } else if (m instanceof AppendEntriesFailureResponse a) {
            b.setNotAppended(Appended.newBuilder().setIndex(a.getExpectedNextIndex())
                    .setQuery(a.getQuerySequenceNumber()).setFlow(a.getFlowControlSequenceNumber()));
        } else if (m instanceof InstallSnapshotRequest s) {
            Snapshot.Builder snapshot = Snapshot.newBuilder().setFromLeader(s.isSenderLeader())
                    .setSnapshotTerm(s.getSnapshotTerm()).setSnapshotIndex(s.getSnapshotIndex())
                    .setChunks(s.getTotalSnapshotChunkCount()).addAllSnapshotted(ids(s.getSnapshottedMembers()))
                    .setMembers(view(s.getGroupMembersView())).setQuery(s.getQuerySequenceNumber())
                    .setFlow(s.getFlowControlSequenceNumber());
            if (s.getSnapshotChunk() != null) {
                snapshot.setChunk(chunk(s.getSnapshotChunk()));
            }
            b.setSnapshot(snapshot);
        } else if (m instanceof InstallSnapshotResponse s) {
            b.setSnapshotAnswer(SnapshotAnswer.newBuilder().setSnapshotIndex(s.getSnapshotIndex())
                    .setChunk(s.getRequestedSnapshotChunkIndex()).setQuery(s.getQuerySequenceNumber())
                    .setFlow(s.getFlowControlSequenceNumber()));
        } else if (m instanceof PreVoteRequest v) {
            b.setPreVote(Vote.newBuilder().setLastTerm(v.getLastLogTerm()).setLastIndex(v.getLastLogIndex()));
        } else if (m instanceof VoteRequest v) {
            b.setVote(Vote.newBuilder().setLastTerm(v.getLastLogTerm()).setLastIndex(v.getLastLogIndex())
                    .setSticky(v.isSticky()));
        } else if (m instanceof PreVoteResponse v) {
            b.setPreVoted(v.isGranted());
        } else if (m instanceof VoteResponse v) {
            b.setVoted(v.isGranted());
        } else if (m instanceof TriggerLeaderElectionRequest t) {
            b.setTakeOver(Vote.newBuilder().setLastTerm(t.getLastLogTerm()).setLastIndex(t.getLastLogIndex()));
        } else {
            throw new IllegalArgumentException("no message of the group: " + m);
        }
        return b.build();
    }

    static RaftMessage consensus(ConsensusMessage m) throws MalformedMessageException {
        String group = name(m.getGroup());
        VoterEndpoint sender = endpoint(m.getSender());
        int term = m.getTerm();
        return switch (m.getWhatCase()) {
            case APPEND -> {
                Append a = m.getAppend();
                List<LogEntry> entries = new ArrayList<>();
                for (EntryMessage e : a.getEntriesList()) {
                    entries.add(entry(e));
                }
                yield MODEL.createAppendEntriesRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                        .setPreviousLogTerm(a.getPreviousTerm()).setPreviousLogIndex(a.getPreviousIndex())
                        .setCommitIndex(a.getCommit()).setLogEntries(entries).setQuerySequenceNumber(a.getQuery())
                        .setFlowControlSequenceNumber(a.getFlow()).build();
            }
            case APPENDED -> MODEL.createAppendEntriesSuccessResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setLastLogIndex(m.getAppended().getIndex())
                    .setQuerySequenceNumber(m.getAppended().getQuery())
                    .setFlowControlSequenceNumber(m.getAppended().getFlow()).build();
            case NOT_APPENDED -> MODEL.createAppendEntriesFailureResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setExpectedNextIndex(m.getNotAppended().getIndex())
                    .setQuerySequenceNumber(m.getNotAppended().getQuery())
                    .setFlowControlSequenceNumber(m.getNotAppended().getFlow()).build();
            case SNAPSHOT -> {
                Snapshot s = m.getSnapshot();
                yield MODEL.createInstallSnapshotRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                        .setSenderLeader(s.getFromLeader()).setSnapshotTerm(s.getSnapshotTerm())
                        .setSnapshotIndex(s.getSnapshotIndex()).setTotalSnapshotChunkCount(s.getChunks())
                        .setSnapshotChunk(s.hasChunk() ? chunk(s.getChunk()) : null)
                        .setSnapshottedMembers(endpoints(s.getSnapshottedList()))
                        .setGroupMembersView(view(s.getMembers())).setQuerySequenceNumber(s.getQuery())
                        .setFlowControlSequenceNumber(s.getFlow()).build();
            }
            case SNAPSHOT_ANSWER -> MODEL.createInstallSnapshotResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setSnapshotIndex(m.getSnapshotAnswer().getSnapshotIndex())
                    .setRequestedSnapshotChunkIndex(m.getSnapshotAnswer().getChunk())
                    .setQuerySequenceNumber(m.getSnapshotAnswer().getQuery())
                    .setFlowControlSequenceNumber(m.getSnapshotAnswer().getFlow()).build();
            case PRE_VOTE -> MODEL.createPreVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setLastLogTerm(m.getPreVote().getLastTerm()).setLastLogIndex(m.getPreVote().getLastIndex())
                    .build();
            case VOTE -> MODEL.createVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setLastLogTerm(m.getVote().getLastTerm()).setLastLogIndex(m.getVote().getLastIndex())
                    .setSticky(m.getVote().getSticky()).build();
            case PRE_VOTED -> MODEL.createPreVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setGranted(m.getPreVoted()).build();
            case VOTED -> MODEL.createVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setGranted(m.getVoted()).build();
            case TAKE_OVER -> MODEL.createTriggerLeaderElectionRequestBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setLastLogTerm(m.getTakeOver().getLastTerm())
                    .setLastLogIndex(m.getTakeOver().getLastIndex()).build();
            case WHAT_NOT_SET -> throw new MalformedMessageException(
                    "a message of the group that this version does not know");
        };
    }
}
