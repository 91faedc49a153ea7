package topazladder.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Reason;
import topazladder.disruption.DisruptionTarget.Kind;

/** The invariants under arbitrary commands, and single cases that are hard to get right. */
class DisruptionStateMachineTest {
    private static final DisruptionBudget ALL = new DisruptionBudget("hall", Kind.INSTANCE, "", 2, 1);
    private static final DisruptionBudget EAST = new DisruptionBudget("east", Kind.INSTANCE, "east", 1, 1);

    private final DisruptionStateMachine stateMachine = new DisruptionStateMachine();

    private static DisruptionTarget instance(int i) {
        return new DisruptionTarget(Kind.INSTANCE, "n" + i, i % 2 == 0 ? "east" : "west");
    }

    @BeforeEach
    void setUp() {
        stateMachine.apply(new DisruptionCommand.SetBudgets(List.of(ALL, EAST)));
        for (int i = 0; i < 6; i++) {
            stateMachine.apply(new DisruptionCommand.SetCapacity(instance(i), 0));
        }
    }

    private boolean requestAndGrant(int i, String requestId) {
        stateMachine.apply(new DisruptionCommand.Request(instance(i), Reason.OPERATOR, requestId, "op"));
        return stateMachine.apply(new DisruptionCommand.Grant(instance(i), requestId, 1)).isApplied();
    }

    @Provide
    Arbitrary<List<DisruptionCommand>> commands() {
        Arbitrary<DisruptionTarget> targets =
                Arbitraries.integers().between(0, 5).map(DisruptionStateMachineTest::instance);
        Arbitrary<String> requestIds = Arbitraries.of("a", "b");
        Arbitrary<Long> incarnations = Arbitraries.longs().between(1, 3);
        Arbitrary<Long> tokens = Arbitraries.longs().between(0, 8);
        Arbitrary<DisruptionCommand> any = Arbitraries.oneOf(
                Combinators.combine(targets, Arbitraries.of(Reason.class), requestIds)
                        .as((target, reason, id) -> new DisruptionCommand.Request(target, reason, id, "op")),
                Combinators.combine(targets, requestIds, incarnations).as(DisruptionCommand.Grant::new),
                Combinators.combine(targets, requestIds, incarnations).as(DisruptionCommand.Grant::new),
                Combinators.combine(targets, requestIds).as(DisruptionCommand.Withdraw::new),
                Combinators.combine(targets, tokens, incarnations).as(
                        (target, token, incarnation) -> new DisruptionCommand.Leaving(target, token, incarnation, "")),
                Combinators.combine(targets, incarnations).as(DisruptionCommand.Lost::new),
                Combinators.combine(targets, incarnations).as(DisruptionCommand.Returning::new),
                targets.map(DisruptionCommand.Steady::new),
                targets.map(target -> new DisruptionCommand.GiveUp(target, "op")),
                Arbitraries.of(new DisruptionCommand.SuspendGrants("by hand"),
                        new DisruptionCommand.SuspendGrants(null), new DisruptionCommand.SetBudgets(List.of(ALL, EAST)),
                        new DisruptionCommand.SetBudgets(List.of(EAST))));
        return any.list().ofMaxSize(80);
    }

    @Property(seed = "20261201", tries = 600)
    void aGrantFitsAllBudgetsAndABudgetIsFreedOnlyInTheAllowedWays(
            @ForAll("commands") List<DisruptionCommand> commands) {
        setUp();
        long tokens = 0;
        for (DisruptionCommand command : commands) {
            var before = stateMachine.targetsUsingBudget();
            Disruption was = command instanceof DisruptionCommand.Grant grant ? stateMachine.get(grant.target()) : null;
            boolean suspended = stateMachine.suspendedReason() != null;
            DisruptionStateMachine.Outcome outcome = stateMachine.apply(command);
            if (command instanceof DisruptionCommand.Grant && outcome.isApplied()) {
                assertThat(suspended).isFalse();
                assertThat(was.phase()).isEqualTo(Phase.ASKED);
                for (DisruptionBudget budget : stateMachine.budgets()) {
                    if (budget.covers(was.target())) {
                        assertThat(stateMachine.targetsUsingBudget().stream().filter(budget::covers).count())
                                .isLessThanOrEqualTo(budget.maxUnavailable());
                    }
                }
                assertThat(outcome.token()).isGreaterThan(tokens);
            }
            tokens = Math.max(tokens, stateMachine.snapshot().lastToken());
            before.removeAll(stateMachine.targetsUsingBudget());
            if (!before.isEmpty()) {
                assertThat(command).isInstanceOfAny(DisruptionCommand.Steady.class, DisruptionCommand.GiveUp.class,
                        DisruptionCommand.Withdraw.class);
            }
        }
    }

    @Property(seed = "20261201", tries = 300)
    void aReplicaRestoredFromASnapshotGoesOnAsTheOriginal(@ForAll("commands") List<DisruptionCommand> commands,
            @ForAll("commands") List<DisruptionCommand> more) {
        DisruptionStateMachine original = new DisruptionStateMachine();
        commands.forEach(original::apply);
        DisruptionStateMachine restored = new DisruptionStateMachine();
        restored.restore(original.snapshot());
        more.forEach(command -> assertThat(restored.apply(command)).isEqualTo(original.apply(command)));
    }

    @Test
    void grantsStayWithinTheBudgetsOfTheClusterAndOfAZone() {
        assertThat(requestAndGrant(0, "a")).isTrue();
        assertThat(requestAndGrant(2, "a")).as("a second one in the east zone").isFalse();
        assertThat(requestAndGrant(1, "a")).isTrue();
        assertThat(requestAndGrant(3, "a")).as("a third one in the cluster").isFalse();
    }

    @Test
    void anInstanceThatASignalEndsUsesTheBudgetAndIsNeverRejected() {
        for (int i = 0; i < 4; i++) {
            assertThat(stateMachine.apply(new DisruptionCommand.Leaving(instance(i), 0, 1, "a signal")).isApplied())
                    .isTrue();
        }
        assertThat(requestAndGrant(5, "a")).isFalse();
        stateMachine.apply(new DisruptionCommand.Returning(instance(0), 2));
        assertThat(requestAndGrant(5, "a")).as("while n0 has returned and is not steady").isFalse();
        for (int i = 0; i < 3; i++) {
            stateMachine.apply(new DisruptionCommand.Returning(instance(i), 2));
            stateMachine.apply(new DisruptionCommand.Steady(instance(i)));
        }
        assertThat(stateMachine.apply(new DisruptionCommand.Grant(instance(5), "a", 1)).isApplied()).isTrue();
    }

    @Test
    void aGrantedInstanceThatIsLostUsesItsBudgetUntilItReturnsOrIsGivenUp() {
        assertThat(requestAndGrant(0, "a")).isTrue();
        stateMachine.apply(new DisruptionCommand.Lost(instance(0), 1));
        assertThat(requestAndGrant(2, "a")).isFalse();
        assertThat(stateMachine.apply(new DisruptionCommand.Steady(instance(0))).isApplied()).isFalse();
        assertThat(stateMachine.apply(new DisruptionCommand.GiveUp(instance(0), "op")).isApplied()).isTrue();
        assertThat(stateMachine.apply(new DisruptionCommand.Grant(instance(2), "a", 1)).isApplied()).isTrue();
    }

    @Test
    void aGrantOfAnEarlierTokenIsRejected() {
        requestAndGrant(0, "a");
        long token = stateMachine.get(instance(0)).token();
        // n0 was restarted and does not know of its grant.
        stateMachine.apply(new DisruptionCommand.Returning(instance(0), 2));
        stateMachine.apply(new DisruptionCommand.Steady(instance(0)));
        assertThat(stateMachine.apply(new DisruptionCommand.Leaving(instance(0), token, 1, "")).isApplied()).isFalse();
        assertThat(stateMachine.apply(new DisruptionCommand.Leaving(instance(0), token, 2, "")).isApplied()).isFalse();
    }

    @Test
    void theNotificationThatItLeavesMayArriveTwice() {
        requestAndGrant(0, "a");
        long token = stateMachine.get(instance(0)).token();
        assertThat(stateMachine.apply(new DisruptionCommand.Leaving(instance(0), token, 1, "")).isApplied()).isTrue();
        assertThat(stateMachine.apply(new DisruptionCommand.Leaving(instance(0), token, 1, "")).isApplied()).isTrue();
        assertThat(stateMachine.apply(new DisruptionCommand.Returning(instance(0), 1)).isApplied())
                .as("it is still draining")
                .isFalse();
    }

    @Test
    void aBudgetThatIsCutWhileItIsUsedRevokesNothingAndGrantsLess() {
        requestAndGrant(0, "a");
        requestAndGrant(1, "a");
        stateMachine.apply(
                new DisruptionCommand.SetBudgets(List.of(new DisruptionBudget("hall", Kind.INSTANCE, "", 1, 1))));
        assertThat(stateMachine.targetsUsingBudget()).hasSize(2);
        stateMachine.apply(new DisruptionCommand.GiveUp(instance(0), "op"));
        assertThat(requestAndGrant(3, "a")).isFalse();
    }

    @Test
    void theCapacityShareLimitsGrantsBesideTheCount() {
        stateMachine.apply(
                new DisruptionCommand.SetBudgets(List.of(new DisruptionBudget("hall", Kind.INSTANCE, "", 5, 0.4))));
        for (int i = 0; i < 6; i++) {
            stateMachine.apply(new DisruptionCommand.SetCapacity(instance(i), i == 0 ? 10 : 2));
        }
        assertThat(requestAndGrant(0, "a")).as("n0 alone is half of the capacity").isFalse();
        assertThat(requestAndGrant(1, "a") && requestAndGrant(2, "a") && requestAndGrant(3, "a")).isTrue();
        assertThat(requestAndGrant(4, "a")).as("n1 to n4 are 8 of 20, exactly the share").isTrue();
        assertThat(requestAndGrant(5, "a")).isFalse();
    }

    @Test
    void withoutABudgetThatCoversItNothingIsGranted() {
        stateMachine.apply(new DisruptionCommand.SetBudgets(List.of()));
        assertThat(requestAndGrant(0, "a")).isFalse();
        stateMachine.apply(new DisruptionCommand.Request(new DisruptionTarget(Kind.DEPENDENCY, "index", ""), Reason.ILL,
                "a", "n1"));
        assertThat(
                stateMachine
                        .apply(new DisruptionCommand.Grant(new DisruptionTarget(Kind.DEPENDENCY, "index", ""), "a", 0))
                        .rejection())
                                .isEqualTo("no budget covers below index");
    }

    @Test
    void aWithdrawnRequestFreesItsBudget() {
        requestAndGrant(0, "a");
        assertThat(stateMachine.apply(new DisruptionCommand.Withdraw(instance(0), "b")).isApplied()).isFalse();
        assertThat(stateMachine.apply(new DisruptionCommand.Withdraw(instance(0), "a")).isApplied()).isTrue();
        assertThat(stateMachine.targetsUsingBudget()).isEmpty();
    }
}
