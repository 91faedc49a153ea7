package topazladder.net.cluster;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import topazladder.consensus.PersistedRaftState;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;
import topazladder.hall.proto.ChunkMessage;
import topazladder.hall.proto.EntryMessage;
import topazladder.hall.proto.MembersView;
import topazladder.net.codec.LogMessages;
import topazladder.net.codec.MalformedMessageException;

/**
 * A voter's store, as one SQLite database in its folder. A transaction spans the time from one flush to the next, and a
 * flush returns once the data is on the disk. A second process on the same folder is refused. All calls block, and come
 * on the consensus thread.
 *
 * <p>Table {@code word} has single values by name, {@code entry} the log by index, {@code chunk} the snapshots by index
 * and chunk number. Values are protobuf messages, or UTF-8 for {@code here}.
 */
public final class SqliteVoterStore implements VoterStore {
    private static final String FILE_NAME = "voter.db";
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    /** Names in the table of single values; stored, so they stay. */
    private static final String HERE = "here";
    private static final String FOUNDING = "first";
    private static final String ENDPOINT = "endpoint";
    private static final String INITIAL_MEMBERS = "members";
    private static final String TERM_AND_VOTE = "term";

    private static final String PUT_VALUE = "insert or replace into word values (?, ?)";
    private static final String SELECT_VALUE = "select value from word where name = ?";
    private static final String PUT_ENTRY = "insert or replace into entry values (?, ?)";
    private static final String SELECT_ENTRIES = "select value from entry order by at";
    private static final String TRUNCATE_ENTRIES_FROM = "delete from entry where at >= ?";
    private static final String TRUNCATE_ENTRIES_UNTIL = "delete from entry where at <= ?";
    private static final String PUT_CHUNK = "insert or replace into chunk values (?, ?, ?)";
    private static final String SELECT_CHUNKS = "select value from chunk order by at, number";
    private static final String DELETE_CHUNKS = "delete from chunk where at = ?";
    private static final List<String> DELETE_ALL =
            List.of("delete from word", "delete from entry", "delete from chunk");

    private final SqliteTransactions database;

    /**
     * Opens the store; creates the folder and the database where there are none.
     *
     * @throws IOException where the folder can't be written, is in use by another process, or was written by a newer
     *     version
     */
    public SqliteVoterStore(Path folder) throws IOException {
        database = new SqliteTransactions(folder, FILE_NAME);
    }

    private byte[] value(String name) throws IOException {
        List<byte[]> rows = database.select(SELECT_VALUE, name);
        return rows.isEmpty() ? null : rows.get(0);
    }

    private void putValue(String name, byte[] value) throws IOException {
        database.update(PUT_VALUE, name, value);
    }

    // ---- identity

    @Override
    public VoterIdentity identity() {
        try {
            byte[] here = value(HERE);
            if (here == null) {
                return null;
            }
            MembersView initial = MembersView.parseFrom(value(FOUNDING));
            List<VoterEndpoint> voters = initial.getMembersList().stream().map(VoterEndpoint::of).toList();
            return new VoterIdentity(VoterEndpoint.of(new String(here, StandardCharsets.UTF_8)), voters,
                    initial.getLogIndex());
        } catch (IOException e) {
            throw new IllegalStateException("the voter store can't be read: " + e.getMessage(), e);
        }
    }

    @Override
    public void initialize(VoterIdentity founding) throws IOException {
        database.rollBack();
        for (String delete : DELETE_ALL) {
            database.update(delete);
        }
        putValue(HERE, founding.localEndpoint().toString().getBytes(StandardCharsets.UTF_8));
        List<String> voters = founding.initialVoters().stream().map(VoterEndpoint::toString).toList();
        putValue(FOUNDING, MembersView.newBuilder().setLogIndex(founding.groupGeneration()).addAllMembers(voters)
                .build().toByteArray());
        flush();
    }

    // ---- Raft's persistent state

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        putValue(ENDPOINT, MembersView.newBuilder().setLogIndex(endpoint.isVoting() ? 1 : 0)
                .addMembers(endpoint.getLocalEndpoint().getId().toString()).build().toByteArray());
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        putValue(INITIAL_MEMBERS, LogMessages.configuration(members).toByteArray());
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        MembersView.Builder message = MembersView.newBuilder().setLogIndex(term.getTerm());
        if (term.getVotedFor() != null) {
            message.addMembers(term.getVotedFor().getId().toString());
        }
        putValue(TERM_AND_VOTE, message.build().toByteArray());
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            database.update(PUT_ENTRY, entry.getIndex(), LogMessages.entry(entry).toByteArray());
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        database.update(PUT_CHUNK, chunk.getIndex(), chunk.getSnapshotChunkIndex(),
                LogMessages.chunk(chunk).toByteArray());
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        database.update(TRUNCATE_ENTRIES_FROM, index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        database.update(TRUNCATE_ENTRIES_UNTIL, index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        database.update(DELETE_CHUNKS, index);
    }

    @Override
    public void flush() throws IOException {
        database.commit();
    }

    @Override
    public RestoredRaftState restored() {
        try {
            database.rollBack();
            return readState().restored();
        } catch (MalformedMessageException | IOException e) {
            throw new IllegalStateException("the voter store can't be read: " + e.getMessage(), e);
        }
    }

    private PersistedRaftState readState() throws IOException, MalformedMessageException {
        PersistedRaftState state = new PersistedRaftState();
        byte[] endpoint = value(ENDPOINT);
        if (endpoint != null) {
            MembersView message = MembersView.parseFrom(endpoint);
            state.setEndpoint(VoterEndpoint.of(message.getMembers(0)), message.getLogIndex() == 1);
        }
        byte[] initialMembers = value(INITIAL_MEMBERS);
        if (initialMembers != null) {
            state.setInitialMembers(LogMessages.configuration(MembersView.parseFrom(initialMembers)));
        }
        byte[] termAndVote = value(TERM_AND_VOTE);
        if (termAndVote != null) {
            state.setTermAndVote(termAndVote(termAndVote));
        }
        for (byte[] entry : database.select(SELECT_ENTRIES)) {
            state.putEntry(LogMessages.entry(EntryMessage.parseFrom(entry)));
        }
        for (byte[] chunk : database.select(SELECT_CHUNKS)) {
            state.putChunk(LogMessages.chunk(ChunkMessage.parseFrom(chunk)));
        }
        return state;
    }

    private static RaftTermPersistentState termAndVote(byte[] value) throws InvalidProtocolBufferException {
        MembersView message = MembersView.parseFrom(value);
        RaftEndpoint votedFor = message.getMembersCount() == 0 ? null : VoterEndpoint.of(message.getMembers(0));
        return MODEL.createRaftTermPersistentStateBuilder().setTerm((int) message.getLogIndex()).setVotedFor(votedFor)
                .build();
    }

    @Override
    public void close() {
        database.close();
    }
}
