package topazladder.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Rejects all writes after one has failed. The library would carry on with its state in memory and answer other voters
 * from it, but term, vote and log must be on stable storage before an answer is sent (Raft dissertation, section 3.8).
 */
final class FailStopStore implements RaftStore {

    private interface Write {
        void run() throws IOException;
    }

    private final RaftStore store;
    private final BooleanSupplier failed;
    private final Consumer<Throwable> onFailure;

    /**
     * Decorates a store.
     *
     * @param failed tells whether an earlier write failed, through this decorator or a previous one of the same store
     * @param onFailure called with each failure before it is thrown
     */
    FailStopStore(RaftStore store, BooleanSupplier failed, Consumer<Throwable> onFailure) {
        this.store = store;
        this.failed = failed;
        this.onFailure = onFailure;
    }

    private void write(Write write) throws IOException {
        if (failed.getAsBoolean()) {
            throw new IOException("voter store rejects writes because an earlier write failed; restart the replica");
        }
        try {
            write.run();
        } catch (IOException | RuntimeException e) {
            onFailure.accept(e);
            throw e;
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        write(() -> store.persistAndFlushLocalEndpoint(endpoint));
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        write(() -> store.persistAndFlushInitialGroupMembers(members));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        write(() -> store.persistAndFlushTerm(term));
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        write(() -> store.persistLogEntries(entries));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        write(() -> store.persistSnapshotChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        write(() -> store.truncateLogEntriesFrom(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        write(() -> store.truncateLogEntriesUntil(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        write(() -> store.deleteSnapshotChunks(index, count));
    }

    @Override
    public void flush() throws IOException {
        write(store::flush);
    }
}
