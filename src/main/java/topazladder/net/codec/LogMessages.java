package topazladder.net.codec;

import io.microraft.MembershipChangeMode;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import topazladder.consensus.StateSnapshot;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.hall.proto.ChunkMessage;
import topazladder.hall.proto.EntryMessage;
import topazladder.hall.proto.MembersOp;
import topazladder.hall.proto.MembersView;
import topazladder.hall.proto.OpMessage;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseStateMachine;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;

/**
 * The replicated log as messages and back: entries with the domains' commands, configurations, and chunks of snapshots.
 * Voters send these to each other, and keep them: what was written once must stay readable.
 */
public final class LogMessages {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private LogMessages() {}

    // ---- entries

    /** Writes an entry; its command is one of a registered domain, or the library's own on the configuration. */
    public static EntryMessage entry(LogEntry entry) {
        return EntryMessage.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm())
                .setOp(command(entry.getOperation())).build();
    }

    /** Reads an entry. */
    public static LogEntry entry(EntryMessage message) throws MalformedMessageException {
        return MODEL.createLogEntryBuilder().setIndex(message.getIndex()).setTerm(message.getTerm())
                .setOperation(command(message.getOp())).build();
    }

    private static OpMessage command(Object command) {
        OpMessage.Builder message = OpMessage.newBuilder();
        if (command instanceof LeaseCommand lease) {
            LeaseMessages.writeCommand(lease, message);
        } else if (command instanceof DisruptionCommand disruption) {
            message.setOut(OutMessages.op(disruption));
        } else if (command instanceof RolloutCommand rollout) {
            message.setReleaseOp(ReleaseMessages.op(rollout));
        } else if (command instanceof UpdateRaftGroupMembersOp update) {
            message.setMembers(configurationChange(update));
        } else {
            throw new IllegalArgumentException("no message for the command " + command);
        }
        return message.build();
    }

    private static Object command(OpMessage message) throws MalformedMessageException {
        return switch (message.getOpCase()) {
            case OUT -> OutMessages.op(message.getOut());
            case RELEASE_OP -> ReleaseMessages.op(message.getReleaseOp());
            case MEMBERS -> configurationChange(message.getMembers());
            case OP_NOT_SET -> throw new MalformedMessageException("an operation that this version does not know");
            default -> LeaseMessages.command(message);
        };
    }

    // ---- configurations

    private static MembersOp configurationChange(UpdateRaftGroupMembersOp change) {
        return MembersOp.newBuilder().addAllMembers(IdentityMessages.voterIds(change.getMembers()))
                .addAllVoting(IdentityMessages.voterIds(change.getVotingMembers()))
                .setEndpoint(change.getEndpoint().getId().toString()).setMode(change.getMode().name()).build();
    }

    private static Object configurationChange(MembersOp message) throws MalformedMessageException {
        return MODEL.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(IdentityMessages.voters(message.getMembersList()))
                .setVotingMembers(IdentityMessages.voters(message.getVotingList()))
                .setEndpoint(IdentityMessages.voter(message.getEndpoint()))
                .setMode(mode(message.getMode())).build();
    }

    private static MembershipChangeMode mode(String name) throws MalformedMessageException {
        try {
            return MembershipChangeMode.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("no change of voters: " + name);
        }
    }

    /** Writes a configuration. */
    public static MembersView configuration(RaftGroupMembersView view) {
        return MembersView.newBuilder().setLogIndex(view.getLogIndex())
                .addAllMembers(IdentityMessages.voterIds(view.getMembers()))
                .addAllVoting(IdentityMessages.voterIds(view.getVotingMembers())).build();
    }

    /** Reads a configuration. */
    public static RaftGroupMembersView configuration(MembersView message) throws MalformedMessageException {
        return MODEL.createRaftGroupMembersViewBuilder().setLogIndex(message.getLogIndex())
                .setMembers(IdentityMessages.voters(message.getMembersList()))
                .setVotingMembers(IdentityMessages.voters(message.getVotingList())).build();
    }

    // ---- snapshots

    /** Writes a chunk of a snapshot; it bears the parts of all domains. */
    public static ChunkMessage chunk(SnapshotChunk chunk) {
        StateSnapshot state = (StateSnapshot) chunk.getOperation();
        ChunkMessage.Builder message = ChunkMessage.newBuilder().setIndex(chunk.getIndex()).setTerm(chunk.getTerm())
                .setChunk(chunk.getSnapshotChunkIndex()).setChunks(chunk.getSnapshotChunkCount())
                .setMembers(configuration(chunk.getGroupMembersView()))
                .setCopy(LeaseMessages.snapshot(state.part(LeaseStateMachine.Snapshot.class).orElseThrow()))
                .setOuts(OutMessages.copy(state.part(DisruptionStateMachine.Snapshot.class).orElseThrow()));
        state.part(Rollout.class).ifPresent(release -> message.setRelease(ReleaseMessages.release(release)));
        return message.build();
    }

    /** Reads a chunk of a snapshot. */
    public static SnapshotChunk chunk(ChunkMessage message) throws MalformedMessageException {
        Rollout release = message.hasRelease() ? ReleaseMessages.release(message.getRelease()) : null;
        StateSnapshot state = StateSnapshot.of(LeaseMessages.snapshot(message.getCopy()),
                OutMessages.copy(message.getOuts()), release);
        return MODEL.createSnapshotChunkBuilder().setIndex(message.getIndex()).setTerm(message.getTerm())
                .setSnapshotChunkIndex(message.getChunk()).setSnapshotChunkCount(message.getChunks())
                .setGroupMembersView(configuration(message.getMembers())).setOperation(state).build();
    }
}
