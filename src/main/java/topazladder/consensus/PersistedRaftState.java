package topazladder.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Raft's persistent state: current term, vote, log, snapshots and the group's initial configuration (Raft dissertation,
 * figure 3.1). The library writes it piece by piece. Invariant: the restored state is the latest complete snapshot and
 * the log entries that follow it without a gap.
 */
public final class PersistedRaftState {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final RaftTermPersistentState NO_TERM =
            MODEL.createRaftTermPersistentStateBuilder().setTerm(0).setVotedFor(null).build();

    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView initialMembers;
    private RaftTermPersistentState termAndVote;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>(); // by index; truncated after each snapshot
    /** By snapshot index and chunk number; holds two snapshots at most. */
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    PersistedRaftState copy() {
        PersistedRaftState copy = new PersistedRaftState();
        copy.endpoint = endpoint;
        copy.initialMembers = initialMembers;
        copy.termAndVote = termAndVote;
        copy.entries.putAll(entries);
        chunks.forEach((index, snapshotChunks) -> copy.chunks.put(index, new TreeMap<>(snapshotChunks)));
        return copy;
    }

    void setEndpoint(RaftEndpointPersistentState newEndpoint) {
        endpoint = newEndpoint;
    }

    /** Sets the voter's own identity, and whether it votes. */
    public void setEndpoint(RaftEndpoint here, boolean voting) {
        endpoint = MODEL.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(here).setVoting(voting).build();
    }

    public void setInitialMembers(RaftGroupMembersView members) {
        initialMembers = members;
    }

    /** Sets the current term and the vote cast in it; null clears both. */
    public void setTermAndVote(RaftTermPersistentState newTermAndVote) {
        termAndVote = newTermAndVote;
    }

    /** Adds a log entry, or replaces the entry at the same index. */
    public void putEntry(LogEntry entry) {
        entries.put(entry.getIndex(), entry);
    }

    void truncateEntriesFrom(long index) {
        entries.tailMap(index, true).clear();
    }

    void truncateEntriesUntil(long index) {
        entries.headMap(index, true).clear();
    }

    void removeLastEntry() {
        entries.pollLastEntry();
    }

    /** Adds a chunk of a snapshot, or replaces the chunk with the same number. */
    public void putChunk(SnapshotChunk chunk) {
        chunks.computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
    }

    void removeChunks(long index) {
        chunks.remove(index);
    }

    /** The state from which a raft node restarts; null if none has run yet. */
    public RestoredRaftState restored() {
        if (endpoint == null || initialMembers == null) {
            return null;
        }
        SnapshotEntry snapshot = latestCompleteSnapshot();
        long firstIndex = snapshot == null ? 1 : snapshot.getIndex() + 1;
        return new RestoredRaftState(endpoint, initialMembers, termAndVote == null ? NO_TERM : termAndVote, snapshot,
                entriesWithoutGapFrom(firstIndex));
    }

    private SnapshotEntry latestCompleteSnapshot() {
        for (TreeMap<Integer, SnapshotChunk> snapshotChunks : chunks.descendingMap().values()) {
            SnapshotChunk first = snapshotChunks.firstEntry().getValue();
            if (snapshotChunks.size() == first.getSnapshotChunkCount()) {
                return MODEL.createSnapshotEntryBuilder().setIndex(first.getIndex()).setTerm(first.getTerm())
                        .setSnapshotChunks(new ArrayList<>(snapshotChunks.values()))
                        .setGroupMembersView(first.getGroupMembersView()).build();
            }
        }
        return null;
    }

    private List<LogEntry> entriesWithoutGapFrom(long firstIndex) {
        List<LogEntry> following = new ArrayList<>();
        long expectedIndex = firstIndex;
        for (Map.Entry<Long, LogEntry> entry : entries.tailMap(firstIndex).entrySet()) {
            if (entry.getKey() != expectedIndex) {
                break;
            }
            following.add(entry.getValue());
            expectedIndex++;
        }
        return following;
    }
}
