package topazladder.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;

/**
 * A store for virtual time. What was not flushed is lost by a crash, as on a disk; a count of writes makes it fail.
 * Not final, so that trials can plant stores that forget.
 */
public class InMemoryVoterStore implements VoterStore {
    private Founding founding;
    private PersistedRaftState kept = new PersistedRaftState();
    private PersistedRaftState now = new PersistedRaftState();
    private long writes;
    private long failsAt = Long.MAX_VALUE;
    private Runnable voted = () -> {};

    /** So many writes come through, and then none until there is {@link #room}. */
    public void full(long writesFromNow) {
        failsAt = writes + writesFromNow;
    }

    public void room() {
        failsAt = Long.MAX_VALUE;
    }

    /** Power is gone: what was not flushed never was. */
    public void crash() {
        now = kept.copy();
    }

    /** The folder is lost. */
    public void wipe() {
        founding = null;
        kept = new PersistedRaftState();
        now = new PersistedRaftState();
    }

    protected final void forgetTerm() {
        kept.term(null);
        now.term(null);
    }

    protected final void forgetEntries(int latest) {
        for (int i = 0; i < latest; i++) {
            kept.dropLast();
        }
        now = kept.copy();
    }

    private void write() throws IOException {
        if (++writes >= failsAt) {
            throw new IOException("no space is left");
        }
    }

    @Override
    public Founding founding() {
        return founding;
    }

    @Override
    public void found(Founding f) throws IOException {
        write();
        founding = f;
        now = new PersistedRaftState();
        kept = now.copy();
    }

    @Override
    public RestoredRaftState restored() {
        now = kept.copy();
        return kept.restored();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        write();
        now.endpoint(endpoint);
        kept = now.copy();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        write();
        now.members(members);
        kept = now.copy();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        write();
        now.term(term);
        kept = now.copy();
        if (term.getVotedFor() != null) {
            voted.run();
        }
    }

    /** Told behind each vote that is kept, before its answer leaves. */
    public void whenVoted(Runnable what) {
        voted = what;
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        write();
        entries.forEach(now::entry);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        write();
        now.chunk(chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        write();
        now.dropFrom(index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        write();
        now.dropUntil(index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        write();
        now.dropChunks(index);
    }

    @Override
    public void flush() throws IOException {
        write();
        kept = now.copy();
    }

    @Override
    public void close() {
        // nothing is held
    }
}
