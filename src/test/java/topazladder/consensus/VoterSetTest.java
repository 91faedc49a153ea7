package topazladder.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import topazladder.consensus.VoterSet.Change;
import topazladder.consensus.VoterSet.Change.Kind;

/** Which change of the voters comes next. */
class VoterSetTest {
    private static final VoterEndpoint N0 = new VoterEndpoint("n0", 0);
    private static final VoterEndpoint N1 = new VoterEndpoint("n1", 0);
    private static final VoterEndpoint N2 = new VoterEndpoint("n2", 0);
    private static final VoterEndpoint REBORN = new VoterEndpoint("n2", 55);
    private static final Set<String> WANTED = Set.of("n0", "n1", "n2");

    private final VoterSet voters = new VoterSet();

    @Test
    void removesTheOldSelfOfAVoterThatLostItsFolderBeforeItAddsTheNewOne() {
        voters.joinRequested(1, REBORN, WANTED);

        assertThat(voters.nextChange(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0, N1)))
                .contains(new Change(N2, Kind.REMOVE));
        assertThat(voters.nextChange(1.2, List.of(N0, N1), WANTED, Set.of(N0, N1)))
                .contains(new Change(REBORN, Kind.ADD));
        assertThat(voters.nextChange(1.3, List.of(N0, N1, REBORN), WANTED, Set.of(N0, N1, REBORN))).isEmpty();
    }

    @Test
    void removesNobodyWhereThoseLeftWouldBeNoMajority() {
        voters.joinRequested(1, REBORN, WANTED);

        assertThat(voters.nextChange(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0))).isEmpty();
    }

    @Test
    void ignoresARequestToJoinOfOneThatTheSettingsDoNotName() {
        voters.joinRequested(1, new VoterEndpoint("n9", 3), WANTED);

        assertThat(voters.nextChange(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0, N1, N2))).isEmpty();
    }

    @Test
    void forgetsARequestToJoinThatIsNotRepeated() {
        voters.joinRequested(1, REBORN, WANTED);

        assertThat(voters.nextChange(60, List.of(N0, N1), WANTED, Set.of(N0, N1))).isEmpty();
    }

    @Test
    void removesVotersThatTheSettingsNameNoMoreOneByOne() {
        Set<String> other = Set.of("n0", "n1", "n3");
        VoterEndpoint n3 = new VoterEndpoint("n3", 8);

        assertThat(voters.nextChange(1, List.of(N0, N1, N2), other, Set.of(N0, N1, N2)))
                .contains(new Change(N2, Kind.REMOVE));

        voters.joinRequested(2, n3, other);
        assertThat(voters.nextChange(2, List.of(N0, N1), other, Set.of(N0, N1))).contains(new Change(n3, Kind.ADD));
    }

    @Test
    void anIdentityIsReadBackAsItWasWritten() {
        assertThat(VoterEndpoint.of(REBORN.toString())).isEqualTo(REBORN);
    }
}
