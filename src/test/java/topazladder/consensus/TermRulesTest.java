package topazladder.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.RaftMessage;
import org.junit.jupiter.api.Test;

/** Which messages are dropped for their earlier term. */
class TermRulesTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final VoterEndpoint SENDER = new VoterEndpoint("n1", 0);

    @Test
    void responseOfAnEarlierTermIsStaleAndRequestIsNot() {
        RaftMessage response = MODEL.createAppendEntriesSuccessResponseBuilder().setGroupId("hall0").setSender(SENDER)
                .setTerm(3).setLastLogIndex(9).setQuerySequenceNumber(125).setFlowControlSequenceNumber(0).build();
        RaftMessage request = MODEL.createVoteRequestBuilder().setGroupId("hall0").setSender(SENDER).setTerm(3)
                .setLastLogTerm(1).setLastLogIndex(1).setSticky(true).build();

        assertThat(TermRules.isStaleResponse(response, 4)).isTrue();
        assertThat(TermRules.isStaleResponse(response, 3)).isFalse();
        assertThat(TermRules.isStaleResponse(request, 4)).isFalse();
    }
}
