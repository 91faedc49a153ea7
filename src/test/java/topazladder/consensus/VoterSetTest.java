package topazladder.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which change of the voters comes next; and which answers are too old to count. */
class VoterSetTest {
    private static final VoterEndpoint N0 = new VoterEndpoint("n0", 0);
    private static final VoterEndpoint N1 = new VoterEndpoint("n1", 0);
    private static final VoterEndpoint N2 = new VoterEndpoint("n2", 0);
    private static final VoterEndpoint REBORN = new VoterEndpoint("n2", 55);
    private static final Set<String> WANTED = Set.of("n0", "n1", "n2");

    private final VoterSet voters = new VoterSet();

    @Test
    void oneThatLostItsFolderIsTakenOutAsItsOldSelfAndInAsItsNewOne() {
        voters.asked(1, REBORN, WANTED);
        assertThat(voters.next(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0, N1)))
                .contains(new VoterSet.Change(N2, false));
        assertThat(voters.next(1.2, List.of(N0, N1), WANTED, Set.of(N0, N1)))
                .contains(new VoterSet.Change(REBORN, true));
        assertThat(voters.next(1.3, List.of(N0, N1, REBORN), WANTED, Set.of(N0, N1, REBORN))).isEmpty();
    }

    @Test
    void nobodyIsTakenOutWhereThoseLeftWouldBeNoMajority() {
        voters.asked(1, REBORN, WANTED);
        assertThat(voters.next(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0))).isEmpty();
    }

    @Test
    void oneThatIsNotNamedIsNotHeard() {
        voters.asked(1, new VoterEndpoint("n9", 3), WANTED);
        assertThat(voters.next(1.1, List.of(N0, N1, N2), WANTED, Set.of(N0, N1, N2))).isEmpty();
    }

    @Test
    void oneThatAskedLongAgoIsNotTakenIn() {
        voters.asked(1, REBORN, WANTED);
        assertThat(voters.next(60, List.of(N0, N1), WANTED, Set.of(N0, N1))).isEmpty();
    }

    @Test
    void votersThatTheSettingsNameNoMoreGoOneByOne() {
        Set<String> other = Set.of("n0", "n1", "n3");
        assertThat(voters.next(1, List.of(N0, N1, N2), other, Set.of(N0, N1, N2)))
                .contains(new VoterSet.Change(N2, false));
        VoterEndpoint n3 = new VoterEndpoint("n3", 8);
        voters.asked(2, n3, other);
        assertThat(voters.next(2, List.of(N0, N1), other, Set.of(N0, N1))).contains(new VoterSet.Change(n3, true));
    }

    @Test
    void anAnswerOfATermBeforeIsTooOldAndAQuestionIsNot() {
        RaftModelFactory model = new DefaultRaftModelFactory();
        RaftMessage answer = model.createAppendEntriesSuccessResponseBuilder().setGroupId("hall0").setSender(N1)
                .setTerm(3).setLastLogIndex(9).setQuerySequenceNumber(125).setFlowControlSequenceNumber(0).build();
        RaftMessage question = model.createVoteRequestBuilder().setGroupId("hall0").setSender(N1).setTerm(3)
                .setLastLogTerm(1).setLastLogIndex(1).setSticky(true).build();
        assertThat(ConsensusReplica.outdated(answer, 4)).isTrue();
        assertThat(ConsensusReplica.outdated(answer, 3)).isFalse();
        assertThat(ConsensusReplica.outdated(question, 4)).isFalse();
    }

    @Test
    void anIdIsReadBackAsItWasWritten() {
        assertThat(VoterEndpoint.of(REBORN.toString())).isEqualTo(REBORN);
    }
}
