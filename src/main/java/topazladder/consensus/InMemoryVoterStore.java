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
 * A simulated store for tests in virtual time. A crash loses what was not flushed, as on a disk, and writes can be made
 * to fail. Not final, so that subclasses can inject defects such as lost votes.
 */
public class InMemoryVoterStore implements VoterStore {
    private VoterIdentity founding;
    private PersistedRaftState flushed = new PersistedRaftState();
    private PersistedRaftState written = new PersistedRaftState();
    private long writes;
    private long firstFailingWrite = Long.MAX_VALUE;
    private Runnable voteListener = () -> {};

    /** Simulates a disk that is full after so many more writes, until {@link #allowWrites}. */
    public void failWritesAfter(long writesFromNow) {
        firstFailingWrite = writes + writesFromNow;
    }

    /** Ends the effect of {@link #failWritesAfter}. */
    public void allowWrites() {
        firstFailingWrite = Long.MAX_VALUE;
    }

    /** Simulates a power failure: drops what was not flushed. */
    public void crash() {
        written = flushed.copy();
    }

    /** Simulates the loss of the voter's data folder. */
    public void wipe() {
        founding = null;
        flushed = new PersistedRaftState();
        written = new PersistedRaftState();
    }

    /** Runs the listener after each flushed vote, before the voter sends its answer. */
    public void onVote(Runnable listener) {
        voteListener = listener;
    }

    /** Injects a defect: loses term and vote, which a store must never do. */
    protected final void forgetTermAndVote() {
        flushed.setTermAndVote(null);
        written.setTermAndVote(null);
    }

    /** Injects a defect: loses the latest log entries, flushed or not, which a store must never do. */
    protected final void forgetLatestEntries(int count) {
        for (int i = 0; i < count; i++) {
            flushed.removeLastEntry();
        }
        written = flushed.copy();
    }

    private void countWrite() throws IOException {
        if (++writes >= firstFailingWrite) {
            throw new IOException("no space left on the simulated disk at write " + writes);
        }
    }

    @Override
    public VoterIdentity identity() {
        return founding;
    }

    @Override
    public void initialize(VoterIdentity newFounding) throws IOException {
        countWrite();
        founding = newFounding;
        written = new PersistedRaftState();
        flushed = written.copy();
    }

    @Override
    public RestoredRaftState restored() {
        written = flushed.copy();
        return flushed.restored();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        countWrite();
        written.setEndpoint(endpoint);
        flushed = written.copy();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        countWrite();
        written.setInitialMembers(members);
        flushed = written.copy();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        countWrite();
        written.setTermAndVote(term);
        flushed = written.copy();
        if (term.getVotedFor() != null) {
            voteListener.run();
        }
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        countWrite();
        entries.forEach(written::putEntry);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        countWrite();
        written.putChunk(chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        countWrite();
        written.truncateEntriesFrom(index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        countWrite();
        written.truncateEntriesUntil(index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        countWrite();
        written.removeChunks(index);
    }

    @Override
    public void flush() throws IOException {
        countWrite();
        flushed = written.copy();
    }

    @Override
    public void close() {
        // no resources to release
    }
}
