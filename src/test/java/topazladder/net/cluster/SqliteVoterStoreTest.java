package topazladder.net.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazladder.consensus.StateSnapshot;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.MemberIdentity;

/** A reopened store has what was flushed and nothing else, and only one process may open it. */
class SqliteVoterStoreTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final VoterEndpoint N0 = new VoterEndpoint("n0", 0);
    private static final VoterEndpoint N1 = new VoterEndpoint("n1", 44);

    @TempDir
    private Path folder;

    private static LogEntry entry(long index, LeaseCommand command) {
        return MODEL.createLogEntryBuilder().setIndex(index).setTerm(2).setOperation(command).build();
    }

    private SqliteVoterStore foundedStore() throws IOException {
        SqliteVoterStore store = new SqliteVoterStore(folder);
        assertThat(store.identity()).isNull();
        assertThat(store.restored()).isNull();
        store.initialize(new VoterStore.VoterIdentity(N0, List.of(N0, N1), 3));
        store.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(N0)
                .setVoting(true).build());
        store.persistAndFlushInitialGroupMembers(MODEL.createRaftGroupMembersViewBuilder().setLogIndex(0)
                .setMembers(List.of(N0, N1)).setVotingMembers(List.of(N0, N1)).build());
        return store;
    }

    @Test
    void restoresWhatWasFlushedAndNothingElse() throws IOException {
        try (SqliteVoterStore store = foundedStore()) {
            store.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder().setTerm(2).setVotedFor(N1).build());
            store.persistLogEntries(List.of(entry(1, new LeaseCommand.BeginLeadership("n1", -5)),
                    entry(2, new LeaseCommand.Define(List.of(new LeaseSettings("probe", 2, 3)))),
                    entry(3, new LeaseCommand.Grant("probe", new MemberIdentity("n0", 1L << 60), 0))));
            store.flush();
            store.truncateLogEntriesFrom(3);
            store.persistLogEntries(List.of(entry(3, new LeaseCommand.Suspend("probe", "by hand"))));
            store.flush();
            store.persistLogEntries(List.of(entry(4, new LeaseCommand.Resume("probe"))));
        }
        try (SqliteVoterStore store = new SqliteVoterStore(folder)) {
            assertThat(store.identity()).isEqualTo(new VoterStore.VoterIdentity(N0, List.of(N0, N1), 3));
            RestoredRaftState restored = store.restored();
            assertThat(restored.getTermPersistentState().getTerm()).isEqualTo(2);
            assertThat(restored.getTermPersistentState().getVotedFor()).isEqualTo(N1);
            assertThat(restored.getLocalEndpointPersistentState().isVoting()).isTrue();
            assertThat(restored.getLogEntries()).extracting(LogEntry::getOperation).containsExactly(
                    new LeaseCommand.BeginLeadership("n1", -5),
                    new LeaseCommand.Define(List.of(new LeaseSettings("probe", 2, 3))),
                    new LeaseCommand.Suspend("probe", "by hand"));
        }
    }

    @Test
    void restoresTheLatestCompleteSnapshotAndTheEntriesAfterIt() throws IOException {
        LeaseStateMachine leases = new LeaseStateMachine();
        leases.apply(new LeaseCommand.Define(List.of(new LeaseSettings("probe", 2, 3))));
        leases.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 9), 0));
        leases.apply(new LeaseCommand.Expire("probe", 1));
        leases.apply(new LeaseCommand.HolderCrashed("probe", 1));
        leases.apply(new LeaseCommand.Suspend("probe", "by hand"));
        StateSnapshot snapshot = StateSnapshot.of(leases.snapshot(), new DisruptionStateMachine().snapshot());
        try (SqliteVoterStore store = foundedStore()) {
            store.persistLogEntries(
                    List.of(entry(1, new LeaseCommand.BeginLeadership("n0", 1)),
                            entry(2, new LeaseCommand.Resume("probe"))));
            store.persistSnapshotChunk(chunk(2, 0, 1, snapshot));
            store.flush();
            store.truncateLogEntriesUntil(2);
            store.persistLogEntries(List.of(entry(3, new LeaseCommand.Resume("probe"))));
            store.persistSnapshotChunk(chunk(3, 0, 2, snapshot));
            store.flush();
        }
        try (SqliteVoterStore store = new SqliteVoterStore(folder)) {
            RestoredRaftState restored = store.restored();
            assertThat(restored.getSnapshotEntry().getIndex()).isEqualTo(2);
            assertThat(((List<?>) restored.getSnapshotEntry().getOperation())).first()
                    .isInstanceOfSatisfying(SnapshotChunk.class,
                            c -> assertThat(c.getOperation()).isEqualTo(snapshot));
            assertThat(restored.getLogEntries()).extracting(LogEntry::getIndex).containsExactly(3L);
        }
    }

    private static SnapshotChunk chunk(long index, int chunkIndex, int chunkCount, StateSnapshot state) {
        return MODEL.createSnapshotChunkBuilder().setIndex(index).setTerm(2).setSnapshotChunkIndex(chunkIndex)
                .setSnapshotChunkCount(chunkCount).setOperation(state).setGroupMembersView(MODEL
                        .createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(List.of(N0, N1))
                        .setVotingMembers(List.of(N0, N1)).build())
                .build();
    }

    @Test
    void refusesASecondStoreOnTheSameFolder() throws IOException {
        try (SqliteVoterStore store = foundedStore()) {
            assertThatThrownBy(() -> new SqliteVoterStore(folder)).isInstanceOf(IOException.class)
                    .hasMessageContaining("another process");
            assertThat(store.identity()).isNotNull();
        }
        new SqliteVoterStore(folder).close();
    }

    @Test
    void refusesAFileThatIsNotADatabase() throws IOException {
        Files.writeString(folder.resolve("voter.db"),
                "this is no database, but it is long enough to look at".repeat(9));
        assertThatThrownBy(() -> new SqliteVoterStore(folder)).isInstanceOf(IOException.class)
                .hasMessageContaining("damaged");
    }

    @Test
    void foundingAgainDropsTheOldContent() throws IOException {
        try (SqliteVoterStore store = foundedStore()) {
            store.persistLogEntries(List.of(entry(1, new LeaseCommand.BeginLeadership("n0", 1))));
            store.flush();
            store.initialize(new VoterStore.VoterIdentity(N1, List.of(N1), 4));
            assertThat(store.identity().groupGeneration()).isEqualTo(4);
            assertThat(store.restored()).isNull();
        }
    }
}
