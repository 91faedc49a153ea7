package topazladder.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import topazladder.consensus.VoterChangePlanner.Change;
import topazladder.consensus.VoterChangePlanner.Change.Kind;

/** The order of voter additions and removals. */
class VoterChangePlannerTest {
    private static final VoterEndpoint N0 = new VoterEndpoint("n0", 0);
    private static final VoterEndpoint N1 = new VoterEndpoint("n1", 0);
    private static final VoterEndpoint N2 = new VoterEndpoint("n2", 0);
    private static final VoterEndpoint N2_NEW_FOLDER = new VoterEndpoint("n2", 55);
    private static final Set<String> WANTED = Set.of("n0", "n1", "n2");

    private final VoterChangePlanner planner = new VoterChangePlanner();

    @Test
    void removesOldIdentityOfVoterWithLostFolderBeforeAddingTheNewOne() {
        planner.joinRequested(1, N2_NEW_FOLDER, WANTED);

        assertThat(planner.nextChange(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0, N1)))
                .contains(new Change(N2, Kind.REMOVE));
        assertThat(planner.nextChange(1.2, List.of(N0, N1), WANTED, Set.of(N0, N1)))
                .contains(new Change(N2_NEW_FOLDER, Kind.ADD));
        assertThat(planner.nextChange(1.3, List.of(N0, N1, N2_NEW_FOLDER), WANTED, Set.of(N0, N1, N2_NEW_FOLDER)))
                .isEmpty();
    }

    @Test
    void removesNobodyIfTheRemainingVotersHeardAreNoMajority() {
        planner.joinRequested(1, N2_NEW_FOLDER, WANTED);

        assertThat(planner.nextChange(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0))).isEmpty();
    }

    @Test
    void ignoresJoinRequestOfMemberThatTheSettingsDoNotName() {
        planner.joinRequested(1, new VoterEndpoint("n9", 3), WANTED);

        assertThat(planner.nextChange(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0, N1, N2))).isEmpty();
    }

    @Test
    void joinRequestExpiresUnlessRepeated() {
        planner.joinRequested(1, N2_NEW_FOLDER, WANTED);

        assertThat(planner.nextChange(60, List.of(N0, N1), WANTED, Set.of(N0, N1))).isEmpty();
    }

    @Test
    void removesVotersThatTheSettingsNoLongerNameOneByOne() {
        Set<String> other = Set.of("n0", "n1", "n3");
        VoterEndpoint n3 = new VoterEndpoint("n3", 8);

        assertThat(planner.nextChange(1, List.of(N0, N1, N2), other, Set.of(N0, N1, N2)))
                .contains(new Change(N2, Kind.REMOVE));

        planner.joinRequested(2, n3, other);
        assertThat(planner.nextChange(2, List.of(N0, N1), other, Set.of(N0, N1))).contains(new Change(n3, Kind.ADD));
    }

    @Test
    void endpointIsParsedFromItsString() {
        assertThat(VoterEndpoint.of(N2_NEW_FOLDER.toString())).isEqualTo(N2_NEW_FOLDER);
    }
}
