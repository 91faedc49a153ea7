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
import java.util.TreeMap;

/** What a voter has to know again after a restart, as the library hands it over piece by piece. */
public final class PersistedRaftState {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>(); // cut at each snapshot
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>(); // of two snapshots at most

    PersistedRaftState copy() {
        PersistedRaftState r = new PersistedRaftState();
        r.endpoint = endpoint;
        r.members = members;
        r.term = term;
        r.entries.putAll(entries);
        chunks.forEach((at, all) -> r.chunks.put(at, new TreeMap<>(all)));
        return r;
    }

    public void endpoint(RaftEndpointPersistentState e) {
        endpoint = e;
    }

    public void endpoint(RaftEndpoint here, boolean voting) {
        endpoint = MODEL.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(here).setVoting(voting).build();
    }

    public void members(RaftGroupMembersView m) {
        members = m;
    }

    /** @param t null forgets it */
    public void term(RaftTermPersistentState t) {
        term = t;
    }

    public void entry(LogEntry entry) {
        entries.put(entry.getIndex(), entry);
    }

    void dropFrom(long index) {
        entries.tailMap(index, true).clear();
    }

    void dropUntil(long index) {
        entries.headMap(index, true).clear();
    }

    void dropChunks(long index) {
        chunks.remove(index);
    }

    void dropLast() {
        entries.pollLastEntry();
    }

    public void chunk(SnapshotChunk chunk) {
        chunks.computeIfAbsent(chunk.getIndex(), at -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
    }

    /** The latest snapshot of which all chunks are there, and what follows it without a gap. */
    public RestoredRaftState restored() {
        if (endpoint == null || members == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        for (TreeMap<Integer, SnapshotChunk> all : chunks.descendingMap().values()) {
            SnapshotChunk first = all.firstEntry().getValue();
            if (all.size() == first.getSnapshotChunkCount()) {
                snapshot = MODEL.createSnapshotEntryBuilder().setIndex(first.getIndex()).setTerm(first.getTerm())
                        .setSnapshotChunks(new ArrayList<>(all.values()))
                        .setGroupMembersView(first.getGroupMembersView()).build();
                break;
            }
        }
        List<LogEntry> after = new ArrayList<>();
        long next = snapshot == null ? 1 : snapshot.getIndex() + 1;
        for (LogEntry e : entries.tailMap(next).values()) {
            if (e.getIndex() != next++) {
                break;
            }
            after.add(e);
        }
        RaftTermPersistentState t = term != null ? term
                : MODEL.createRaftTermPersistentStateBuilder().setTerm(0).setVotedFor(null).build();
        return new RestoredRaftState(endpoint, members, t, snapshot, after);
    }
}
