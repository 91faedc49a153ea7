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
import topazladder.disruption.Disruption.Why;
import topazladder.disruption.DisruptionTarget.Kind;

/** The ledger of outs: its invariants whatever is proposed, and the hard cases by name. */
class DisruptionStateMachineTest {
    private static final DisruptionBudget ALL = new DisruptionBudget("hall", Kind.INSTANCE, "", 2, 1);
    private static final DisruptionBudget EAST = new DisruptionBudget("east", Kind.INSTANCE, "east", 1, 1);

    private final DisruptionStateMachine ledger = new DisruptionStateMachine();

    private static DisruptionTarget instance(int i) {
        return new DisruptionTarget(Kind.INSTANCE, "n" + i, i % 2 == 0 ? "east" : "west");
    }

    @BeforeEach
    void setUp() {
        ledger.apply(new DisruptionCommand.Budgets(List.of(ALL, EAST)));
        for (int i = 0; i < 6; i++) {
            ledger.apply(new DisruptionCommand.Known(instance(i), 0));
        }
    }

    private boolean goes(int i, String request) {
        ledger.apply(new DisruptionCommand.Ask(instance(i), Why.OPERATOR, request, "op"));
        return ledger.apply(new DisruptionCommand.Grant(instance(i), request, 1)).done();
    }

    @Provide
    Arbitrary<List<DisruptionCommand>> ops() {
        Arbitrary<DisruptionTarget> subjects =
                Arbitraries.integers().between(0, 5).map(DisruptionStateMachineTest::instance);
        Arbitrary<String> requests = Arbitraries.of("a", "b");
        Arbitrary<Long> lives = Arbitraries.longs().between(1, 3);
        Arbitrary<Long> tokens = Arbitraries.longs().between(0, 8);
        Arbitrary<DisruptionCommand> any = Arbitraries.oneOf(
                Combinators.combine(subjects, Arbitraries.of(Why.class), requests)
                        .as((s, w, r) -> new DisruptionCommand.Ask(s, w, r, "op")),
                Combinators.combine(subjects, requests, lives).as(DisruptionCommand.Grant::new),
                Combinators.combine(subjects, requests, lives).as(DisruptionCommand.Grant::new),
                Combinators.combine(subjects, requests).as(DisruptionCommand.Withdraw::new),
                Combinators.combine(subjects, tokens, lives).as((s, t, l) -> new DisruptionCommand.Leaves(s, t, l, "")),
                Combinators.combine(subjects, lives).as(DisruptionCommand.Lost::new),
                Combinators.combine(subjects, lives).as(DisruptionCommand.Returns::new),
                subjects.map(DisruptionCommand.Steady::new),
                subjects.map(s -> new DisruptionCommand.GivenUp(s, "op")),
                Arbitraries.of(new DisruptionCommand.Halt("by hand"),
                        new DisruptionCommand.Halt(null), new DisruptionCommand.Budgets(List.of(ALL, EAST)),
                        new DisruptionCommand.Budgets(List.of(EAST))));
        return any.list().ofMaxSize(80);
    }

    @Property(seed = "20261201", tries = 600)
    void aGrantFitsAllBudgetsAndAPlaceIsGivenBackOnlyAsItMay(@ForAll("ops") List<DisruptionCommand> ops) {
        setUp();
        long tokens = 0;
        for (DisruptionCommand op : ops) {
            var before = ledger.taken();
            Disruption was = op instanceof DisruptionCommand.Grant g ? ledger.get(g.subject()) : null;
            boolean halted = ledger.halted() != null;
            DisruptionStateMachine.Outcome outcome = ledger.apply(op);
            if (op instanceof DisruptionCommand.Grant && outcome.done()) {
                assertThat(halted).isFalse();
                assertThat(was.phase()).isEqualTo(Phase.ASKED);
                for (DisruptionBudget b : ledger.budgets()) {
                    if (b.covers(was.subject())) {
                        assertThat(ledger.taken().stream().filter(b::covers).count()).isLessThanOrEqualTo(b.most());
                    }
                }
                assertThat(outcome.token()).isGreaterThan(tokens);
            }
            tokens = Math.max(tokens, ledger.copy().tokens());
            before.removeAll(ledger.taken());
            if (!before.isEmpty()) {
                assertThat(op).isInstanceOfAny(DisruptionCommand.Steady.class, DisruptionCommand.GivenUp.class,
                        DisruptionCommand.Withdraw.class);
            }
        }
    }

    @Property(seed = "20261201", tries = 300)
    void
            oneThatBeginsWithACopyGoesOnAsTheOther(@ForAll("ops") List<DisruptionCommand> ops,
                    @ForAll("ops") List<DisruptionCommand> more) {
        DisruptionStateMachine one = new DisruptionStateMachine();
        ops.forEach(one::apply);
        DisruptionStateMachine other = new DisruptionStateMachine();
        other.replace(one.copy());
        more.forEach(op -> assertThat(other.apply(op)).isEqualTo(one.apply(op)));
    }

    @Test
    void noMoreThanTheBudgetGoesOfTheHallAndOfAZone() {
        assertThat(goes(0, "a")).isTrue();
        assertThat(goes(2, "a")).as("a second of the east").isFalse();
        assertThat(goes(1, "a")).isTrue();
        assertThat(goes(3, "a")).as("a third of the hall").isFalse();
    }

    @Test
    void whatASignalTakesHoldsOthersBackAndIsAlwaysObeyed() {
        for (int i = 0; i < 4; i++) {
            assertThat(ledger.apply(new DisruptionCommand.Leaves(instance(i), 0, 1, "a signal")).done()).isTrue();
        }
        assertThat(goes(5, "a")).isFalse();
        ledger.apply(new DisruptionCommand.Returns(instance(0), 2));
        assertThat(goes(5, "a")).as("back, and not steady").isFalse();
        for (int i = 0; i < 3; i++) {
            ledger.apply(new DisruptionCommand.Returns(instance(i), 2));
            ledger.apply(new DisruptionCommand.Steady(instance(i)));
        }
        assertThat(ledger.apply(new DisruptionCommand.Grant(instance(5), "a", 1)).done()).isTrue();
    }

    @Test
    void aHolderThatDiesKeepsItsPlaceUntilItIsFilledOrAnOperatorSaysSo() {
        assertThat(goes(0, "a")).isTrue();
        ledger.apply(new DisruptionCommand.Lost(instance(0), 1));
        assertThat(goes(2, "a")).isFalse();
        assertThat(ledger.apply(new DisruptionCommand.Steady(instance(0))).done()).isFalse();
        assertThat(ledger.apply(new DisruptionCommand.GivenUp(instance(0), "op")).done()).isTrue();
        assertThat(ledger.apply(new DisruptionCommand.Grant(instance(2), "a", 1)).done()).isTrue();
    }

    @Test
    void aPermissionOfBeforeIsWorthNothing() {
        goes(0, "a");
        long token = ledger.get(instance(0)).token();
        ledger.apply(new DisruptionCommand.Returns(instance(0), 2)); // it was started again, and knows of nothing
        ledger.apply(new DisruptionCommand.Steady(instance(0)));
        assertThat(ledger.apply(new DisruptionCommand.Leaves(instance(0), token, 1, "")).done()).isFalse();
        assertThat(ledger.apply(new DisruptionCommand.Leaves(instance(0), token, 2, "")).done()).isFalse();
    }

    @Test
    void theWordThatItGoesMayComeTwice() {
        goes(0, "a");
        long token = ledger.get(instance(0)).token();
        assertThat(ledger.apply(new DisruptionCommand.Leaves(instance(0), token, 1, "")).done()).isTrue();
        assertThat(ledger.apply(new DisruptionCommand.Leaves(instance(0), token, 1, "")).done()).isTrue();
        assertThat(ledger.apply(new DisruptionCommand.Returns(instance(0), 1)).done()).as("it is still draining")
                .isFalse();
    }

    @Test
    void aBudgetThatIsCutWhileUsedTakesNothingBackAndGrantsLess() {
        goes(0, "a");
        goes(1, "a");
        ledger.apply(new DisruptionCommand.Budgets(List.of(new DisruptionBudget("hall", Kind.INSTANCE, "", 1, 1))));
        assertThat(ledger.taken()).hasSize(2);
        ledger.apply(new DisruptionCommand.GivenUp(instance(0), "op"));
        assertThat(goes(3, "a")).isFalse();
    }

    @Test
    void aShareOfTheMeasuredCapacityBindsBesideTheCount() {
        ledger.apply(new DisruptionCommand.Budgets(List.of(new DisruptionBudget("hall", Kind.INSTANCE, "", 5, 0.4))));
        for (int i = 0; i < 6; i++) {
            ledger.apply(new DisruptionCommand.Known(instance(i), i == 0 ? 10 : 2));
        }
        assertThat(goes(0, "a")).as("half of all by itself").isFalse();
        assertThat(goes(1, "a") && goes(2, "a") && goes(3, "a")).isTrue();
        assertThat(goes(4, "a")).as("with a fourth 8 of 20, which is the share").isTrue();
        assertThat(goes(5, "a")).isFalse();
    }

    @Test
    void withoutABudgetNothingGoes() {
        ledger.apply(new DisruptionCommand.Budgets(List.of()));
        assertThat(goes(0, "a")).isFalse();
        ledger.apply(new DisruptionCommand.Ask(new DisruptionTarget(Kind.BELOW, "index", ""), Why.ILL, "a", "n1"));
        assertThat(
                ledger.apply(new DisruptionCommand.Grant(new DisruptionTarget(Kind.BELOW, "index", ""), "a", 0)).why())
                        .isEqualTo("no budget covers it");
    }

    @Test
    void oneThatWithdrawsKeepsItsPlaceInTheOrderForNobody() {
        goes(0, "a");
        assertThat(ledger.apply(new DisruptionCommand.Withdraw(instance(0), "b")).done()).isFalse();
        assertThat(ledger.apply(new DisruptionCommand.Withdraw(instance(0), "a")).done()).isTrue();
        assertThat(ledger.taken()).isEmpty();
    }
}
