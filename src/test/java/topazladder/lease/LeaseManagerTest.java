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
 * Which leases the leader grants, renews and ends. Unless a test says otherwise, commands are applied as soon as they
 * are proposed.
 */
class LeaseManagerTest {
    private final LeaseStateMachine stateMachine = new LeaseStateMachine();
    private LeaseManager leader;
    private final List<Step> carriedOut = new ArrayList<>();

    @BeforeEach
    void setUp() {
        define(1);
        leader = new LeaseManager(stateMachine);
        leader.becomeLeader(0);
    }

    private void define(int count) {
        List<LeaseSettings> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new LeaseSettings("duty-" + i, 2, 3));
        }
        stateMachine.apply(new LeaseCommand.Define(all));
    }

    private static MemberIdentity member(int number) {
        return new MemberIdentity("n" + number, 1);
    }

    private static LeaseRequest request(MemberIdentity from, long sequence, boolean eligible,
            LeaseRequest.Stopped... stopped) {
        return new LeaseRequest(from, sequence, eligible, List.of(), List.of(stopped));
    }

    /** Carries out steps immediately: confirms leadership, and applies proposed commands. */
    private void carryOut(double now, List<Step> steps) {
        for (Step step : steps) {
            carriedOut.add(step);
            if (step instanceof Step.ConfirmLeadership confirm) {
                carryOut(now, leader.leadershipConfirmed(now, confirm.round()));
            } else if (step instanceof Step.Propose propose) {
                carryOut(now, leader.commandApplied(now, propose.command(), stateMachine.apply(propose.command())));
            }
        }
    }

    private LeaseResponse responseTo(double now, LeaseRequest request) {
        carriedOut.clear();
        carryOut(now, leader.handleRequest(now, request));
        return carriedOut.stream().filter(s -> s instanceof Step.Reply reply && reply.member().equals(request.member()))
                .map(s -> ((Step.Reply) s).response()).findFirst().orElse(null);
    }

    private void tick(double now) {
        carryOut(now, leader.tick(now));
    }

    private MemberIdentity holder(int lease) {
        return stateMachine.get("duty-" + lease).holder();
    }

    @Test
    void aLeaseIsGrantedToAnEligibleMemberAfterOnePollInterval() {
        responseTo(0.1, request(member(0), 1, false));
        responseTo(0.1, request(member(1), 1, true));
        tick(0.5);
        assertThat(holder(0)).isNull();
        tick(1.1);
        assertThat(holder(0)).isEqualTo(member(1));
        assertThat(carriedOut).contains(new Step.WakeUp(member(1)));
        LeaseResponse response = responseTo(1.2, request(member(1), 2, true));
        assertThat(response.grants()).containsExactly(new LeaseResponse.Grant("duty-0", 1, 2, false));
    }

    @Test
    void aNewLeaderDoesNotExpireALeaseThatAnEarlierLeaderMayHaveRenewed() {
        stateMachine.apply(new LeaseCommand.Grant("duty-0", member(9), 0));
        leader.becomeLeader(100);
        responseTo(100.1, request(member(1), 1, true));
        responseTo(101.5, request(member(1), 2, true));
        tick(100 + 2 * 1.05 / 0.95 - 0.01);
        assertThat(holder(0)).isEqualTo(member(9));
        tick(100 + 2 * 1.05 / 0.95 + 0.01);
        assertThat(holder(0)).isNull();
    }

    @Test
    void aRequestIsAnsweredOnlyAfterAConfirmationThatBeganAfterItArrived() {
        List<Step> first = leader.handleRequest(0.1, request(member(0), 1, true));
        assertThat(first).containsExactly(new Step.ConfirmLeadership(1));
        assertThat(leader.handleRequest(0.2, request(member(1), 1, true))).isEmpty();
        List<Step> then = leader.leadershipConfirmed(0.3, 1);
        assertThat(then).filteredOn(s -> s instanceof Step.Reply).hasSize(1);
        assertThat(then).contains(new Step.ConfirmLeadership(2));
        assertThat(leader.leadershipConfirmed(0.4, 2))
                .filteredOn(s -> s instanceof Step.Reply reply && reply.member().equals(member(1)))
                .hasSize(1);
    }

    @Test
    void fiveHundredRequestsAtOnceAreAnsweredByTwoConfirmations() {
        List<Step> all = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            all.addAll(leader.handleRequest(0.1, request(member(i), 1, true)));
        }
        assertThat(all).containsExactly(new Step.ConfirmLeadership(1));
        int answers = leader.leadershipConfirmed(0.2, 1).size();
        answers += leader.leadershipConfirmed(0.3, 2).size();
        assertThat(answers).isEqualTo(500 + 1); // plus the step that confirms the second round
    }

    @Test
    void withoutAMajorityNobodyIsAnsweredAndTheMembersPollAgain() {
        leader.handleRequest(0.1, request(member(0), 1, true));
        assertThat(leader.leadershipUnconfirmed(1)).isEmpty();
        assertThat(leader.leadershipConfirmed(0.2, 1)).isEmpty();
        assertThat(leader.handleRequest(0.3, request(member(0), 2, true)))
                .containsExactly(new Step.ConfirmLeadership(2));
    }

    @Test
    void aLeaseWhoseExpiryIsProposedIsNotRenewed() {
        responseTo(0.1, request(member(0), 1, true));
        tick(1.1);
        List<Step> proposed = leader.tick(1.1 + 2 * 1.05 / 0.95 + 0.1);
        assertThat(proposed).contains(new Step.Propose(new LeaseCommand.Expire("duty-0", 1)));
        // The holder polls while the command is in flight.
        List<Step> steps = leader.handleRequest(3.5, request(member(0), 2, true));
        long round = ((Step.ConfirmLeadership) steps.get(0)).round();
        assertThat(leader.leadershipConfirmed(3.6, round)).filteredOn(s -> s instanceof Step.Reply)
                .extracting(s -> ((Step.Reply) s).response().grants()).containsExactly(List.of());
        // The outcome of the command is unknown: the lease is still not renewed.
        leader.commandFailed(new LeaseCommand.Expire("duty-0", 1));
        long next = ((Step.ConfirmLeadership) leader.handleRequest(3.7, request(member(0), 3, true)).get(0)).round();
        assertThat(leader.leadershipConfirmed(3.8, next)).filteredOn(s -> s instanceof Step.Reply)
                .extracting(s -> ((Step.Reply) s).response().grants()).containsExactly(List.of());
    }

    @Test
    void aTransferWaitsUntilTheHolderHasStopped() {
        responseTo(0.1, request(member(0), 1, true));
        tick(1.1);
        responseTo(1.2, request(member(1), 1, true));
        stateMachine.apply(new LeaseCommand.Transfer("duty-0", "n1"));
        LeaseResponse response = responseTo(1.3, request(member(0), 2, true));
        assertThat(response.grants().get(0).stopRequested()).isTrue();
        responseTo(1.4, request(member(0), 3, true, new LeaseRequest.Stopped("duty-0", 1, null)));
        tick(1.5);
        assertThat(holder(0)).isEqualTo(member(1));
        assertThat(stateMachine.get("duty-0").fencingToken()).isEqualTo(2);
        assertThat(stateMachine.get("duty-0").preferredMember()).isEmpty();
    }

    @Test
    void aHolderThatIsIneligibleForAMomentKeepsItsLease() {
        responseTo(0.1, request(member(0), 1, true));
        tick(1.1);
        responseTo(1.2, request(member(1), 1, true));
        assertThat(responseTo(1.3, request(member(0), 2, false)).grants().get(0).stopRequested()).isFalse();
        assertThat(responseTo(2.0, request(member(0), 3, true)).grants().get(0).stopRequested()).isFalse();
        responseTo(2.5, request(member(0), 4, false));
        responseTo(3.5, request(member(0), 5, false));
        assertThat(responseTo(4.6, request(member(0), 6, false)).grants().get(0).stopRequested()).isTrue();
    }

    @Test
    void lossesOfEarlierIncarnationsCountAsCrashes() {
        for (long incarnation = 1; incarnation <= 3; incarnation++) {
            double at = incarnation * 10;
            MemberIdentity identity = new MemberIdentity("n0", incarnation);
            responseTo(at, request(identity, 1, true));
            tick(at + 1.1);
            assertThat(holder(0)).isEqualTo(identity);
            tick(at + 9);
            assertThat(holder(0)).isNull();
        }
        responseTo(40, request(new MemberIdentity("n0", 4), 1, true));
        assertThat(stateMachine.get("duty-0").suspendedReason()).contains("brought down 3");
    }

    @Test
    void aRequestOfAnEarlierIncarnationIsNotAnswered() {
        responseTo(0.1, request(new MemberIdentity("n0", 5), 1, true));
        assertThat(leader.handleRequest(0.2, request(new MemberIdentity("n0", 4), 9, true))).isEmpty();
    }

    @Test
    void aLeaseThatAnOperatorPlacedIsNotMovedByTheBalancer() {
        define(3);
        for (int d = 0; d < 3; d++) {
            stateMachine.apply(new LeaseCommand.Transfer("duty-" + d, "n3"));
        }
        rounds(0, 20, 5);
        assertThat(stateMachine.leases()).allMatch(s -> member(3).equals(s.holder()));
        long tokens = stateMachine.leases().stream().mapToLong(LeaseState::fencingToken).sum();
        rounds(20, 60, 5);
        assertThat(stateMachine.leases().stream().mapToLong(LeaseState::fencingToken).sum()).isEqualTo(tokens);
        // A transfer to the current holder also marks the lease as placed by an operator, and leaves no preference.
        stateMachine.apply(new LeaseCommand.Transfer("duty-1", "n3"));
        assertThat(stateMachine.get("duty-1").preferredMember()).isEmpty();
    }

    /** Runs rounds of half a second in which each member polls, and stops and reports the tasks that it is told to. */
    private void rounds(int from, int to, int members) {
        for (int round = from; round < to; round++) {
            double now = round * 0.5;
            for (int i = 0; i < members; i++) {
                LeaseResponse last = responseTo(now, request(member(i), 2L * round, true));
                List<LeaseRequest.Stopped> stopped = new ArrayList<>();
                last.grants().stream().filter(LeaseResponse.Grant::stopRequested)
                        .forEach(l -> stopped.add(new LeaseRequest.Stopped(l.leaseName(), l.fencingToken(), null)));
                if (!stopped.isEmpty()) {
                    responseTo(now,
                            request(member(i), 2L * round + 1, true, stopped.toArray(LeaseRequest.Stopped[]::new)));
                }
            }
            tick(now);
        }
    }

    @Test
    void threeHundredLeasesAreSpreadWithinTheBoundAndBalancedAsMembersJoin() {
        define(300);
        rounds(0, 20, 4);
        rounds(20, 120, 12);
        Map<MemberIdentity, Integer> load = new HashMap<>();
        stateMachine.leases().forEach(s -> load.merge(s.holder(), 1, Integer::sum));
        assertThat(load).hasSize(12);
        assertThat(load.values()).allMatch(n -> n <= 1.25 * LeasePlacement.bound(300, 12));
        long moves = stateMachine.leases().stream().mapToLong(LeaseState::fencingToken).sum() - 300;
        assertThat(moves).as("leases moved after eight members joined four").isLessThanOrEqualTo(200);
    }

    @Test
    void theMemberThatLostTheLeaseLastIsGrantedItOnlyWhereNobodyElseIsEligible() {
        responseTo(0.1, request(member(0), 1, true));
        tick(1.1);
        responseTo(1.2, request(member(1), 1, true));
        for (double t = 1.3; t < 6; t += 0.4) {
            responseTo(t, request(member(1), (long) (t * 100), true));
            responseTo(t, request(member(0), (long) (t * 100), true, new LeaseRequest.Stopped("duty-0", 1, "no file")));
            tick(t);
        }
        assertThat(holder(0)).isEqualTo(member(1));
    }
}
