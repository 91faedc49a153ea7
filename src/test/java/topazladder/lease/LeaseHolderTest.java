package topazladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazladder.lease.LeaseHolder.Step;
import topazladder.lease.LeaseResponse.Lease;

/** What a holder takes, keeps and gives up, by its own clock. */
class LeaseHolderTest {
    private static final double LEASE = 2;

    private LeaseHolder holder;

    @BeforeEach
    void setUp() {
        holder = new LeaseHolder(new MemberIdentity("n1", 7));
    }

    private static LeaseRequest sent(List<Step> steps) {
        return steps.stream().filter(s -> s instanceof Step.Send).map(s -> ((Step.Send) s).ask()).findFirst()
                .orElse(null);
    }

    private static LeaseResponse answer(long number, long token) {
        return new LeaseResponse(number, List.of(new Lease("probe", token, LEASE, false)), 1);
    }

    /** Asks at 0 and is granted the duty by an answer that comes at 0.4. */
    private void granted(long token) {
        LeaseRequest ask = sent(holder.setSteady(0, true));
        assertThat(holder.handleResponse(0.4, answer(ask.number(), token))).contains(new Step.Start("probe", token));
    }

    @Test
    void aLeaseCountsFromBeforeItsAskAndNotFromItsAnswer() {
        granted(1);
        assertThat(holder.token(1.99, "probe")).hasValue(1);
        assertThat(holder.token(2.0, "probe")).isEmpty();
    }

    @Test
    void aHolderThatStoodStillPastItsLeaseFindsNoTokenThoughNothingHadToldIt() {
        granted(1);
        assertThat(holder.token(500, "probe")).isEmpty();
        List<Step> steps = holder.tick(500);
        assertThat(steps).anyMatch(s -> s instanceof Step.Stop);
        assertThat(sent(steps).stopped()).containsExactly(new LeaseRequest.Stopped("probe", 1, null));
    }

    @Test
    void aLateAnswerCountsFromItsOwnAsk() {
        granted(1);
        LeaseRequest second = sent(holder.tick(0.6));
        LeaseRequest third = sent(holder.tick(1.5));
        assertThat(third.number()).isGreaterThan(second.number());
        holder.handleResponse(1.6, answer(second.number(), 1));
        assertThat(holder.token(2.59, "probe")).hasValue(1);
        assertThat(holder.token(2.6, "probe")).isEmpty();
    }

    @Test
    void anAnswerThatComesTwiceOrWasNeverAskedForGivesNothing() {
        LeaseRequest ask = sent(holder.setSteady(0, true));
        holder.handleResponse(0.5, answer(ask.number(), 1));
        assertThat(holder.handleResponse(1.0, answer(ask.number(), 1))).isEmpty();
        assertThat(holder.handleResponse(1.0, answer(99, 2))).isEmpty();
        assertThat(holder.token(2.0, "probe")).isEmpty();
    }

    @Test
    void aGrantWhoseAnswerComesPastItsTimeIsNotBegunAndIsGivenBack() {
        LeaseRequest ask = sent(holder.setSteady(0, true));
        List<Step> steps = holder.handleResponse(2.5, answer(ask.number(), 1));
        assertThat(steps).noneMatch(s -> s instanceof Step.Start);
        assertThat(sent(steps).stopped()).containsExactly(new LeaseRequest.Stopped("probe", 1, null));
    }

    @Test
    void whatItStoppedIsSaidAgainUntilTheGroupKnows() {
        granted(1);
        LeaseRequest over = sent(holder.taskStopped(1.0, "probe", 1, "no file"));
        assertThat(over.stopped()).containsExactly(new LeaseRequest.Stopped("probe", 1, "no file"));
        // The leader that heard it is none any more: the next one still has it as held here.
        LeaseRequest again = sent(holder.handleResponse(1.2, answer(over.number(), 1)));
        assertThat(again == null ? sent(holder.tick(1.9)).stopped() : again.stopped())
                .extracting(LeaseRequest.Stopped::token).containsExactly(1L);
        assertThat(holder.token(1.3, "probe")).isEmpty();
    }

    @Test
    void aTokenThatIsOverIsNeverTakenUpAgain() {
        granted(1);
        LeaseRequest over = sent(holder.taskStopped(1.0, "probe", 1, null));
        holder.handleResponse(1.1, new LeaseResponse(over.number(), List.of(), 1));
        assertThat(holder.isIdle()).isTrue();
        LeaseRequest ask = sent(holder.wakeUp(1.2));
        assertThat(holder.handleResponse(1.3, answer(ask.number(), 1))).noneMatch(s -> s instanceof Step.Start);
        LeaseRequest next = sent(holder.wakeUp(1.5));
        assertThat(next.stopped()).as("it says again that it is over").isNotEmpty();
        assertThat(holder.handleResponse(1.6, answer(next.number(), 2))).contains(new Step.Start("probe", 2));
    }

    @Test
    void whatIsGrantedAnewIsNotBegunBesideItself() {
        granted(1);
        LeaseRequest ask = sent(holder.wakeUp(0.9));
        List<Step> steps = holder.handleResponse(1.0, answer(ask.number(), 2));
        assertThat(steps).noneMatch(s -> s instanceof Step.Start).anyMatch(s -> s instanceof Step.Stop);
        LeaseRequest over = sent(holder.taskStopped(1.1, "probe", 1, null));
        assertThat(holder.handleResponse(1.2, answer(over.number(), 2))).contains(new Step.Start("probe", 2));
    }

    @Test
    void itStopsByItselfBeforeItsTimeIsOver() {
        granted(1);
        assertThat(holder.tick(1.6)).noneMatch(s -> s instanceof Step.Stop);
        assertThat(holder.tick(1.71)).anyMatch(s -> s instanceof Step.Stop stop && stop.by() < 0.3);
    }

    @Test
    void oneThatLeavesStopsAllAndTakesNothing() {
        granted(1);
        List<Step> steps = holder.shutDown(1.0);
        assertThat(steps).anyMatch(s -> s instanceof Step.Stop);
        assertThat(sent(steps).steady()).isFalse();
        LeaseRequest over = sent(holder.taskStopped(1.1, "probe", 1, null));
        List<Step> after = holder.handleResponse(1.2, new LeaseResponse(over.number(),
                List.of(new Lease("other", 1, LEASE, false)), 1));
        assertThat(after).noneMatch(s -> s instanceof Step.Start);
    }

    @Test
    void anAskWithoutAnAnswerGoesToAnotherVoter() {
        holder.setSteady(0, true);
        List<Step> steps = holder.tick(1.1);
        assertThat(steps).anyMatch(s -> s instanceof Step.Send send && send.another());
    }
}
