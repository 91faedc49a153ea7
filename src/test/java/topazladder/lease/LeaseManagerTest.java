package topazladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazladder.lease.LeaseManager.Step;

/**
 * What the leader grants, renews and ends; its operations are applied as soon as they are proposed, where a test says
 * no more.
 */
class LeaseManagerTest {
    private final LeaseStateMachine ledger = new LeaseStateMachine();
    private LeaseManager leader;
    private final List<Step> said = new ArrayList<>();

    @BeforeEach
    void setUp() {
        define(1);
        leader = new LeaseManager(ledger);
        leader.becomeLeader(0);
    }

    private void define(int duties) {
        List<LeaseSettings> all = new ArrayList<>();
        for (int i = 0; i < duties; i++) {
            all.add(new LeaseSettings("duty-" + i, 2, 3));
        }
        ledger.apply(new LeaseCommand.Define(all));
    }

    private static MemberIdentity member(int i) {
        return new MemberIdentity("n" + i, 1);
    }

    private static LeaseRequest ask(MemberIdentity from, long number, boolean steady, LeaseRequest.Stopped... stopped) {
        return new LeaseRequest(from, number, steady, List.of(), List.of(stopped));
    }

    /** Carries out all at once: confirms, and applies what is proposed. */
    private void carryOut(double now, List<Step> steps) {
        for (Step s : steps) {
            said.add(s);
            if (s instanceof Step.Confirm c) {
                carryOut(now, leader.leadershipConfirmed(now, c.round()));
            } else if (s instanceof Step.Propose p) {
                carryOut(now, leader.commandApplied(now, p.op(), ledger.apply(p.op())));
            }
        }
    }

    private LeaseResponse answerTo(double now, LeaseRequest ask) {
        said.clear();
        carryOut(now, leader.handleRequest(now, ask));
        return said.stream().filter(s -> s instanceof Step.Reply r && r.to().equals(ask.from()))
                .map(s -> ((Step.Reply) s).answer()).findFirst().orElse(null);
    }

    private void tick(double now) {
        carryOut(now, leader.tick(now));
    }

    private MemberIdentity holder(int duty) {
        return ledger.get("duty-" + duty).holder();
    }

    @Test
    void itGrantsToWhoeverIsSteadyOnceAllHadTheirTimeToBeHeard() {
        answerTo(0.1, ask(member(0), 1, false));
        answerTo(0.1, ask(member(1), 1, true));
        tick(0.5);
        assertThat(holder(0)).isNull();
        tick(1.1);
        assertThat(holder(0)).isEqualTo(member(1));
        assertThat(said).contains(new Step.Nudge(member(1)));
        LeaseResponse a = answerTo(1.2, ask(member(1), 2, true));
        assertThat(a.leases()).containsExactly(new LeaseResponse.Lease("duty-0", 1, 2, false));
    }

    @Test
    void aNewLeaderWaitsOutWhatItCantKnow() {
        ledger.apply(new LeaseCommand.Grant("duty-0", member(9), 0));
        leader.becomeLeader(100);
        answerTo(100.1, ask(member(1), 1, true));
        answerTo(101.5, ask(member(1), 2, true));
        tick(100 + 2 * 1.05 / 0.95 - 0.01);
        assertThat(holder(0)).isEqualTo(member(9));
        tick(100 + 2 * 1.05 / 0.95 + 0.01);
        assertThat(holder(0)).isNull();
    }

    @Test
    void nothingIsAnsweredBeforeAMajorityHasConfirmedAndOnlyWhatCameBefore() {
        List<Step> first = leader.handleRequest(0.1, ask(member(0), 1, true));
        assertThat(first).containsExactly(new Step.Confirm(1));
        assertThat(leader.handleRequest(0.2, ask(member(1), 1, true))).isEmpty();
        List<Step> then = leader.leadershipConfirmed(0.3, 1);
        assertThat(then).filteredOn(s -> s instanceof Step.Reply).hasSize(1);
        assertThat(then).contains(new Step.Confirm(2));
        assertThat(leader.leadershipConfirmed(0.4, 2))
                .filteredOn(s -> s instanceof Step.Reply r && r.to().equals(member(1)))
                .hasSize(1);
    }

    @Test
    void fiveHundredThatAskAtOnceAreAnsweredByTwoConfirmations() {
        List<Step> all = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            all.addAll(leader.handleRequest(0.1, ask(member(i), 1, true)));
        }
        assertThat(all).containsExactly(new Step.Confirm(1));
        int answers = leader.leadershipConfirmed(0.2, 1).size();
        answers += leader.leadershipConfirmed(0.3, 2).size();
        assertThat(answers).isEqualTo(500 + 1); // and the second round
    }

    @Test
    void withoutAMajorityNobodyIsAnsweredAndTheAskersAskAgain() {
        leader.handleRequest(0.1, ask(member(0), 1, true));
        assertThat(leader.leadershipUnconfirmed(1)).isEmpty();
        assertThat(leader.leadershipConfirmed(0.2, 1)).isEmpty();
        assertThat(leader.handleRequest(0.3, ask(member(0), 2, true))).containsExactly(new Step.Confirm(2));
    }

    @Test
    void whatIsBeingGivenAwayIsNotRenewed() {
        answerTo(0.1, ask(member(0), 1, true));
        tick(1.1);
        List<Step> over = leader.tick(1.1 + 2 * 1.05 / 0.95 + 0.1);
        assertThat(over).contains(new Step.Propose(new LeaseCommand.Expire("duty-0", 1)));
        // The operation is on its way, and the holder asks.
        List<Step> steps = leader.handleRequest(3.5, ask(member(0), 2, true));
        long round = ((Step.Confirm) steps.get(0)).round();
        assertThat(leader.leadershipConfirmed(3.6, round)).filteredOn(s -> s instanceof Step.Reply)
                .extracting(s -> ((Step.Reply) s).answer().leases()).containsExactly(List.of());
        // Nobody knows whether it came through: still no renewal.
        leader.commandFailed(new LeaseCommand.Expire("duty-0", 1));
        long next = ((Step.Confirm) leader.handleRequest(3.7, ask(member(0), 3, true)).get(0)).round();
        assertThat(leader.leadershipConfirmed(3.8, next)).filteredOn(s -> s instanceof Step.Reply)
                .extracting(s -> ((Step.Reply) s).answer().leases()).containsExactly(List.of());
    }

    @Test
    void anOperatorsWishIsHandedOverInOrder() {
        answerTo(0.1, ask(member(0), 1, true));
        tick(1.1);
        answerTo(1.2, ask(member(1), 1, true));
        ledger.apply(new LeaseCommand.HandOver("duty-0", "n1"));
        LeaseResponse a = answerTo(1.3, ask(member(0), 2, true));
        assertThat(a.leases().get(0).stop()).isTrue();
        answerTo(1.4, ask(member(0), 3, true, new LeaseRequest.Stopped("duty-0", 1, null)));
        tick(1.5);
        assertThat(holder(0)).isEqualTo(member(1));
        assertThat(ledger.get("duty-0").token()).isEqualTo(2);
        assertThat(ledger.get("duty-0").wanted()).isEmpty();
    }

    @Test
    void aHolderThatIsUnsteadyForAMomentKeepsWhatItHolds() {
        answerTo(0.1, ask(member(0), 1, true));
        tick(1.1);
        answerTo(1.2, ask(member(1), 1, true));
        assertThat(answerTo(1.3, ask(member(0), 2, false)).leases().get(0).stop()).isFalse();
        assertThat(answerTo(2.0, ask(member(0), 3, true)).leases().get(0).stop()).isFalse();
        answerTo(2.5, ask(member(0), 4, false));
        answerTo(3.5, ask(member(0), 5, false));
        assertThat(answerTo(4.6, ask(member(0), 6, false)).leases().get(0).stop()).isTrue();
    }

    @Test
    void aMemberThatComesBackUnderAnotherLifeCountsWhatItLostAsBroughtDown() {
        for (long life = 1; life <= 3; life++) {
            double at = life * 10;
            MemberIdentity m = new MemberIdentity("n0", life);
            answerTo(at, ask(m, 1, true));
            tick(at + 1.1);
            assertThat(holder(0)).isEqualTo(m);
            tick(at + 9);
            assertThat(holder(0)).isNull();
        }
        answerTo(40, ask(new MemberIdentity("n0", 4), 1, true));
        assertThat(ledger.get("duty-0").halted()).contains("brought down 3");
    }

    @Test
    void anAskOfALifeThatIsOverIsNotAnswered() {
        answerTo(0.1, ask(new MemberIdentity("n0", 5), 1, true));
        assertThat(leader.handleRequest(0.2, ask(new MemberIdentity("n0", 4), 9, true))).isEmpty();
    }

    @Test
    void whatAnOperatorPutSomewhereIsNotTakenFromItToEvenTheLoad() {
        define(3);
        for (int d = 0; d < 3; d++) {
            ledger.apply(new LeaseCommand.HandOver("duty-" + d, "n3"));
        }
        rounds(0, 20, 5);
        assertThat(ledger.all()).allMatch(s -> member(3).equals(s.holder()));
        long tokens = ledger.all().stream().mapToLong(LeaseState::token).sum();
        rounds(20, 60, 5);
        assertThat(ledger.all().stream().mapToLong(LeaseState::token).sum()).isEqualTo(tokens);
        // Said of one that it holds already, it means the same.
        ledger.apply(new LeaseCommand.HandOver("duty-1", "n3"));
        assertThat(ledger.get("duty-1").wanted()).isEmpty();
    }

    /** Every half second all members ask, and stop what they are told to. */
    private void rounds(int from, int to, int members) {
        for (int round = from; round < to; round++) {
            double now = round * 0.5;
            for (int i = 0; i < members; i++) {
                LeaseResponse last = answerTo(now, ask(member(i), 2L * round, true));
                List<LeaseRequest.Stopped> stopped = new ArrayList<>();
                last.leases().stream().filter(LeaseResponse.Lease::stop)
                        .forEach(l -> stopped.add(new LeaseRequest.Stopped(l.duty(), l.token(), null)));
                if (!stopped.isEmpty()) {
                    answerTo(now, ask(member(i), 2L * round + 1, true, stopped.toArray(LeaseRequest.Stopped[]::new)));
                }
            }
            tick(now);
        }
    }

    @Test
    void threeHundredDutiesAreSpreadWithinTheBoundAndEvenedAsMembersJoin() {
        define(300);
        rounds(0, 20, 4);
        rounds(20, 120, 12);
        Map<MemberIdentity, Integer> load = new HashMap<>();
        ledger.all().forEach(s -> load.merge(s.holder(), 1, Integer::sum));
        assertThat(load).hasSize(12);
        assertThat(load.values()).allMatch(n -> n <= 1.25 * LeasePlacement.bound(300, 12));
        long moves = ledger.all().stream().mapToLong(LeaseState::token).sum() - 300;
        assertThat(moves).as("duties that moved when eight joined four").isLessThanOrEqualTo(200);
    }

    @Test
    void whoLostItLastIsAskedAgainOnlyWhereNobodyElseIsThere() {
        answerTo(0.1, ask(member(0), 1, true));
        tick(1.1);
        answerTo(1.2, ask(member(1), 1, true));
        for (double t = 1.3; t < 6; t += 0.4) {
            answerTo(t, ask(member(1), (long) (t * 100), true));
            answerTo(t, ask(member(0), (long) (t * 100), true, new LeaseRequest.Stopped("duty-0", 1, "no file")));
            tick(t);
        }
        assertThat(holder(0)).isEqualTo(member(1));
    }
}
