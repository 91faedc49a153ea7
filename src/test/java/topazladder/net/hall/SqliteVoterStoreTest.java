package topazladder.net.hall;

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

/** A voter's folder: what was flushed is there again, what was not is not, and nobody else writes to it. */
class SqliteVoterStoreTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final VoterEndpoint N0 = new VoterEndpoint("n0", 0);
    private static final VoterEndpoint N1 = new VoterEndpoint("n1", 44);

    @TempDir
    private Path folder;

    private static LogEntry entry(long at, LeaseCommand op) {
        return MODEL.createLogEntryBuilder().setIndex(at).setTerm(2).setOperation(op).build();
    }

    private SqliteVoterStore founded() throws IOException {
        SqliteVoterStore store = new SqliteVoterStore(folder);
        assertThat(store.founding()).isNull();
        assertThat(store.restored()).isNull();
        store.found(new VoterStore.Founding(N0, List.of(N0, N1), 3));
        store.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(N0)
                .setVoting(true).build());
        store.persistAndFlushInitialGroupMembers(MODEL.createRaftGroupMembersViewBuilder().setLogIndex(0)
                .setMembers(List.of(N0, N1)).setVotingMembers(List.of(N0, N1)).build());
        return store;
    }

    @Test
    void restoresWhatWasFlushedAndNothingElse() throws IOException {
        try (SqliteVoterStore store = founded()) {
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
            assertThat(store.founding()).isEqualTo(new VoterStore.Founding(N0, List.of(N0, N1), 3));
            RestoredRaftState r = store.restored();
            assertThat(r.getTermPersistentState().getTerm()).isEqualTo(2);
            assertThat(r.getTermPersistentState().getVotedFor()).isEqualTo(N1);
            assertThat(r.getLocalEndpointPersistentState().isVoting()).isTrue();
            assertThat(r.getLogEntries()).extracting(LogEntry::getOperation).containsExactly(
                    new LeaseCommand.BeginLeadership("n1", -5),
                    new LeaseCommand.Define(List.of(new LeaseSettings("probe", 2, 3))),
                    new LeaseCommand.Suspend("probe", "by hand"));
        }
    }

    @Test
    void restoresTheLatestCompleteSnapshotAndTheEntriesBehindIt() throws IOException {
        LeaseStateMachine ledger = new LeaseStateMachine();
        ledger.apply(new LeaseCommand.Define(List.of(new LeaseSettings("probe", 2, 3))));
        ledger.apply(new LeaseCommand.Grant("probe", new MemberIdentity("n0", 9), 0));
        ledger.apply(new LeaseCommand.Expire("probe", 1));
        ledger.apply(new LeaseCommand.HolderCrashed("probe", 1));
        ledger.apply(new LeaseCommand.Suspend("probe", "by hand"));
        StateSnapshot snapshot = StateSnapshot.of(ledger.snapshot(), new DisruptionStateMachine().snapshot());
        try (SqliteVoterStore store = founded()) {
            store.persistLogEntries(
                    List.of(entry(1, new LeaseCommand.BeginLeadership("n0", 1)),
                            entry(2, new LeaseCommand.Resume("probe"))));
            store.persistSnapshotChunk(
                    chunk(2, 0, 1, snapshot));
            store.flush();
            store.truncateLogEntriesUntil(2);
            store.persistLogEntries(List.of(entry(3, new LeaseCommand.Resume("probe"))));
            store.persistSnapshotChunk(
                    chunk(3, 0, 2, snapshot));
            store.flush();
        }
        try (SqliteVoterStore store = new SqliteVoterStore(folder)) {
            RestoredRaftState r = store.restored();
            assertThat(r.getSnapshotEntry().getIndex()).isEqualTo(2);
            assertThat(((List<?>) r.getSnapshotEntry().getOperation())).first()
                    .isInstanceOfSatisfying(SnapshotChunk.class,
                            c -> assertThat(c.getOperation()).isEqualTo(snapshot));
            assertThat(r.getLogEntries()).extracting(LogEntry::getIndex).containsExactly(3L);
        }
    }

    private static SnapshotChunk chunk(long at, int number, int of, StateSnapshot state) {
        return MODEL.createSnapshotChunkBuilder().setIndex(at).setTerm(2).setSnapshotChunkIndex(number)
                .setSnapshotChunkCount(of).setOperation(state).setGroupMembersView(MODEL
                        .createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(List.of(N0, N1))
                        .setVotingMembers(List.of(N0, N1)).build())
                .build();
    }

    @Test
    void refusesASecondStoreOnTheSameFolder() throws IOException {
        try (SqliteVoterStore store = founded()) {
            assertThatThrownBy(() -> new SqliteVoterStore(folder)).isInstanceOf(IOException.class)
                    .hasMessageContaining("another process");
            assertThat(store.founding()).isNotNull();
        }
        new SqliteVoterStore(folder).close();
    }

    @Test
    void refusesAFolderWithoutADatabaseInIt() throws IOException {
        Files.writeString(folder.resolve("voter.db"),
                "this is no database, but it is long enough to look at".repeat(9));
        assertThatThrownBy(() -> new SqliteVoterStore(folder)).isInstanceOf(IOException.class)
                .hasMessageContaining("damaged");
    }

    @Test
    void foundingAnewForgetsWhatWasThere() throws IOException {
        try (SqliteVoterStore store = founded()) {
            store.persistLogEntries(List.of(entry(1, new LeaseCommand.BeginLeadership("n0", 1))));
            store.flush();
            store.found(new VoterStore.Founding(N1, List.of(N1), 4));
            assertThat(store.founding().groupGeneration()).isEqualTo(4);
            assertThat(store.restored()).isNull();
        }
    }
}
