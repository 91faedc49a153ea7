package topazladder.net.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.model.message.RaftMessage;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazladder.consensus.VoterEndpoint;
import topazladder.consensus.VoterStore.VoterIdentity;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionController;
import topazladder.disruption.DisruptionTarget;
import topazladder.emulator.Timeline;
import topazladder.endpoint.OutlierDetector;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseManager;
import topazladder.lease.LeaseResponse;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseState;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.MemberIdentity;
import topazladder.replication.ClusterReplica;
import topazladder.replication.ClusterState;
import topazladder.rollout.Rollout;

/**
 * Compatibility with a store that the program wrote as of commit 7ae6163: of the only voter of a group of generation 2,
 * with a snapshot and the log entries after it. The file was written by that program's own classes.
 */
class StoreOfEarlierReleaseTest {
    private static final String RESOURCE = "/store-of-7ae6163/voter.db";
    private static final VoterEndpoint N0 = new VoterEndpoint("n0", 0);
    private static final MemberIdentity N1 = new MemberIdentity("n1", 5);
    private static final MemberIdentity N2 = new MemberIdentity("n2", 1L << 60);
    private static final DisruptionTarget TARGET_N1 =
            new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, "n1", "east");
    private static final DisruptionTarget TARGET_N2 =
            new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, "n2", "west");
    /** All fencing tokens of group generation 2 are above this. */
    private static final long TOKEN_FLOOR = 2L << 40;
    private static final double LEASE_SECONDS = 3600;
    private static final ClusterReplica.Settings SETTINGS = new ClusterReplica.Settings(List.of("n0"), 0.2,
            List.of(new LeaseSettings("probe", LEASE_SECONDS, 3), new LeaseSettings("sweep", LEASE_SECONDS, 2),
                    new LeaseSettings("release", LEASE_SECONDS, 3)),
            List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", 1, 1)));

    @TempDir
    private Path folder;
    private final Timeline time = new Timeline(0);

    @BeforeEach
    void copyTheStore() throws IOException {
        try (InputStream stored = StoreOfEarlierReleaseTest.class.getResourceAsStream(RESOURCE)) {
            Files.copy(stored, folder.resolve("voter.db"));
        }
    }

    @Test
    void readsIdentityTermVoteSnapshotAndLog() throws IOException {
        try (SqliteVoterStore store = new SqliteVoterStore(folder)) {
            assertThat(store.identity()).isEqualTo(new VoterIdentity(N0, List.of(N0), 2));

            RestoredRaftState restored = store.restored();
            RaftTermPersistentState term = restored.getTermPersistentState();
            assertThat(term.getTerm()).isEqualTo(1);
            assertThat(term.getVotedFor()).isEqualTo(N0);
            assertThat(restored.getSnapshotEntry().getIndex()).isEqualTo(512);
            assertThat(restored.getLogEntries()).hasSize(43);
        }
    }

    @Test
    void continuesFromTheCommittedState() throws IOException {
        try (SqliteVoterStore store = new SqliteVoterStore(folder)) {
            ClusterState state = runningReplica(store).state();

            assertThat(state.leases().get("probe")).isEqualTo(
                    new LeaseState(SETTINGS.leases().get(0), TOKEN_FLOOR + 1, N1, null, "", false, List.of()));
            assertThat(state.leases().get("sweep")).isEqualTo(new LeaseState(SETTINGS.leases().get(1), TOKEN_FLOOR + 2,
                    N1, null, "", false, List.of(new LeaseState.Loss(TOKEN_FLOOR + 1, N2, false))));
            assertThat(state.leases().get("release").suspendedReason()).isEqualTo("by an operator");
            assertThat(state.disruptions().get(TARGET_N1))
                    .isEqualTo(new Disruption(TARGET_N1, Disruption.Reason.OPERATOR,
                            Disruption.Phase.GRANTED, "operator", 1, 5, 1, "an operator"));
            assertThat(state.disruptions().get(TARGET_N2))
                    .isEqualTo(new Disruption(TARGET_N2, Disruption.Reason.OPERATOR,
                            Disruption.Phase.ASKED, "second", 0, 0, 2, "an operator"));
            assertThat(state.disruptions().capacities()).isEqualTo(Map.of(TARGET_N1, 12.5, TARGET_N2, 9.25));
            assertThat(state.disruptions().budgets()).containsExactlyElementsOf(SETTINGS.budgets());
            Rollout rollout = state.rollouts().rollout();
            assertThat(rollout.phase()).isEqualTo(Rollout.Phase.RUNNING);
            assertThat(rollout.plan().to()).isEqualTo("B");
            assertThat(rollout.targets()).extracting(place -> place.name()).containsExactly("n1", "n2");
        }
    }

    @Test
    void aCommandCommittedAfterwardsSurvivesAnotherRestart() throws IOException {
        try (SqliteVoterStore store = new SqliteVoterStore(folder)) {
            ClusterReplica replica = runningReplica(store);
            LeaseCommand release = new LeaseCommand.Release("probe", TOKEN_FLOOR + 1);
            LeaseCommand grant = new LeaseCommand.Grant("probe", N2, TOKEN_FLOOR + 1);
            replica.leases().propose(release, outcome -> assertThat(outcome.isApplied()).isTrue());
            replica.leases().propose(grant,
                    outcome -> assertThat(outcome).isEqualTo(new LeaseStateMachine.Outcome(TOKEN_FLOOR + 2, null)));
            time.runUntil(time.getAsDouble() + 1);
            assertThat(replica.term()).isEqualTo(2);
            replica.close(() -> {});
            time.runUntil(time.getAsDouble() + 1);
        }
        try (SqliteVoterStore store = new SqliteVoterStore(folder)) {
            ClusterReplica replica = runningReplica(store);

            assertThat(replica.term()).isEqualTo(3);
            assertThat(replica.state().leases().get("probe").fencingToken()).isEqualTo(TOKEN_FLOOR + 2);
            assertThat(replica.state().leases().get("probe").holder()).isEqualTo(N2);
        }
    }

    private ClusterReplica runningReplica(SqliteVoterStore store) {
        ClusterState state = new ClusterState();
        ClusterReplica replica = new ClusterReplica(store, SETTINGS, time, time, new SplittableRandom(7),
                new EnvironmentWithoutMembers(), new ClusterReplica.Domains(state, new LeaseManager(state.leases()),
                        new DisruptionController(state.disruptions(), 0.8), new OutlierDetector(state.disruptions())));
        replica.start();
        time.runUntil(time.getAsDouble() + 30);
        assertThat(replica.isLeader()).isTrue();
        return replica;
    }

    private static final class EnvironmentWithoutMembers implements ClusterReplica.Environment {
        @Override
        public void send(VoterEndpoint to, RaftMessage message) {
            throw new AssertionError("the only voter of its group sent a message to " + to);
        }

        @Override
        public void failed(Throwable cause) {
            throw new AssertionError("the replica failed", cause);
        }

        @Override
        public void reply(MemberIdentity to, LeaseResponse response) {
            // no member polls
        }

        @Override
        public void wakeUp(MemberIdentity to) {
            // there are no members
        }

        @Override
        public void grantShutdown(String member, long token) {
            // there are no members
        }

        @Override
        public void shutDown(String member, long token, String version) {
            // there are no members
        }
    }
}
