package topazladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazladder.lease.LeaseHolder.Step;
import topazladder.lease.LeaseResponse.Grant;

/** Which tasks a member starts, keeps running and stops, by its own clock. */
class LeaseHolderTest {
    private static final double DURATION_SECONDS = 2;

    private LeaseHolder holder;

    @BeforeEach
    void setUp() {
        holder = new LeaseHolder(new MemberIdentity("n1", 7));
    }

    private static LeaseRequest sent(List<Step> steps) {
        return steps.stream().filter(step -> step instanceof Step.Send).map(step -> ((Step.Send) step).request())
                .findFirst().orElse(null);
    }

    private static LeaseResponse response(long sequence, long fencingToken) {
        return new LeaseResponse(sequence, List.of(new Grant("probe", fencingToken, DURATION_SECONDS, false)), 1);
    }

    /** Polls at 0 s and is granted the lease by a response that arrives at 0.4 s. */
    private void granted(long fencingToken) {
        LeaseRequest request = sent(holder.setEligible(0, true));
        assertThat(holder.handleResponse(0.4, response(request.sequence(), fencingToken)))
                .contains(new Step.Start("probe", fencingToken));
    }

    @Test
    void aLeaseCountsFromItsRequestAndNotFromItsResponse() {
        granted(1);
        assertThat(holder.fencingToken(1.99, "probe")).hasValue(1);
        assertThat(holder.fencingToken(2.0, "probe")).isEmpty();
    }

    @Test
    void aHolderThatStalledPastExpiryGetsNoTokenEvenBeforeItsNextTick() {
        granted(1);
        assertThat(holder.fencingToken(500, "probe")).isEmpty();
        List<Step> steps = holder.tick(500);
        assertThat(steps).anyMatch(step -> step instanceof Step.Stop);
        assertThat(sent(steps).stopped()).containsExactly(new LeaseRequest.Stopped("probe", 1, null));
    }

    @Test
    void aLateResponseCountsFromItsOwnRequest() {
        granted(1);
        LeaseRequest second = sent(holder.tick(0.6));
        LeaseRequest third = sent(holder.tick(1.5));
        assertThat(third.sequence()).isGreaterThan(second.sequence());
        holder.handleResponse(1.6, response(second.sequence(), 1));
        assertThat(holder.fencingToken(2.59, "probe")).hasValue(1);
        assertThat(holder.fencingToken(2.6, "probe")).isEmpty();
    }

    @Test
    void aDuplicateResponseOrOneToAnUnknownRequestGrantsNothing() {
        LeaseRequest request = sent(holder.setEligible(0, true));
        holder.handleResponse(0.5, response(request.sequence(), 1));
        assertThat(holder.handleResponse(1.0, response(request.sequence(), 1))).isEmpty();
        assertThat(holder.handleResponse(1.0, response(99, 2))).isEmpty();
        assertThat(holder.fencingToken(2.0, "probe")).isEmpty();
    }

    @Test
    void aGrantThatArrivesAfterExpiryIsNotStartedAndIsReportedAsStopped() {
        LeaseRequest request = sent(holder.setEligible(0, true));
        List<Step> steps = holder.handleResponse(2.5, response(request.sequence(), 1));
        assertThat(steps).noneMatch(step -> step instanceof Step.Start);
        assertThat(sent(steps).stopped()).containsExactly(new LeaseRequest.Stopped("probe", 1, null));
    }

    @Test
    void aStoppedLeaseIsReportedUntilTheGroupHasRecordedIt() {
        granted(1);
        LeaseRequest report = sent(holder.taskStopped(1.0, "probe", 1, "no file"));
        assertThat(report.stopped()).containsExactly(new LeaseRequest.Stopped("probe", 1, "no file"));
        // The leader that got the report was replaced: its successor still renews the lease.
        LeaseRequest again = sent(holder.handleResponse(1.2, response(report.sequence(), 1)));
        assertThat(again == null ? sent(holder.tick(1.9)).stopped() : again.stopped())
                .extracting(LeaseRequest.Stopped::fencingToken).containsExactly(1L);
        assertThat(holder.fencingToken(1.3, "probe")).isEmpty();
    }

    @Test
    void aTaskIsNeverStartedAgainUnderATokenThatHasEnded() {
        granted(1);
        LeaseRequest report = sent(holder.taskStopped(1.0, "probe", 1, null));
        holder.handleResponse(1.1, new LeaseResponse(report.sequence(), List.of(), 1));
        assertThat(holder.isIdle()).isTrue();
        LeaseRequest request = sent(holder.wakeUp(1.2));
        assertThat(holder.handleResponse(1.3, response(request.sequence(), 1)))
                .noneMatch(step -> step instanceof Step.Start);
        LeaseRequest next = sent(holder.wakeUp(1.5));
        assertThat(next.stopped()).as("stopped leases reported again").isNotEmpty();
        assertThat(holder.handleResponse(1.6, response(next.sequence(), 2))).contains(new Step.Start("probe", 2));
    }

    @Test
    void aTaskIsNotStartedUnderANewTokenBeforeItHasStoppedUnderThePreviousOne() {
        granted(1);
        LeaseRequest request = sent(holder.wakeUp(0.9));
        List<Step> steps = holder.handleResponse(1.0, response(request.sequence(), 2));
        assertThat(steps).noneMatch(step -> step instanceof Step.Start).anyMatch(step -> step instanceof Step.Stop);
        LeaseRequest report = sent(holder.taskStopped(1.1, "probe", 1, null));
        assertThat(holder.handleResponse(1.2, response(report.sequence(), 2))).contains(new Step.Start("probe", 2));
    }

    @Test
    void aTaskIsToldToStopBeforeItsLeaseExpires() {
        granted(1);
        assertThat(holder.tick(1.6)).noneMatch(step -> step instanceof Step.Stop);
        assertThat(holder.tick(1.71)).anyMatch(step -> step instanceof Step.Stop stop && stop.withinSeconds() < 0.3);
    }

    @Test
    void aMemberThatShutsDownStopsItsTasksAndStartsNone() {
        granted(1);
        List<Step> steps = holder.shutDown(1.0);
        assertThat(steps).anyMatch(step -> step instanceof Step.Stop);
        assertThat(sent(steps).eligible()).isFalse();
        LeaseRequest report = sent(holder.taskStopped(1.1, "probe", 1, null));
        List<Step> after = holder.handleResponse(1.2, new LeaseResponse(report.sequence(),
                List.of(new Grant("other", 1, DURATION_SECONDS, false)), 1));
        assertThat(after).noneMatch(step -> step instanceof Step.Start);
    }

    @Test
    void aRequestWithoutAResponseIsRepeatedToAnotherVoter() {
        holder.setEligible(0, true);
        List<Step> steps = holder.tick(1.1);
        assertThat(steps).anyMatch(step -> step instanceof Step.Send send && send.otherVoter());
    }
}
