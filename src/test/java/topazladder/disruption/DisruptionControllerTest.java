package topazladder.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Why;
import topazladder.disruption.DisruptionController.Look;
import topazladder.disruption.DisruptionTarget.Kind;

/** What a leader makes of what it sees: who is lost, who is back, whose turn it is. */
class DisruptionControllerTest {
    private final DisruptionStateMachine ledger = new DisruptionStateMachine();
    private final DisruptionController permits = new DisruptionController(ledger, 2);
    private final Map<DisruptionTarget, DisruptionController.Seen> looks = new HashMap<>();

    private static DisruptionTarget instance(int i) {
        return new DisruptionTarget(Kind.INSTANCE, "n" + i, i < 3 ? "east" : "west");
    }

    @BeforeEach
    void setUp() {
        ledger.apply(new DisruptionCommand.Budgets(List.of(new DisruptionBudget("hall", Kind.INSTANCE, "", 2, 1),
                new DisruptionBudget("east", Kind.INSTANCE, "east", 1, 1))));
        for (int i = 0; i < 6; i++) {
            look(i, Look.STEADY, 1);
        }
        permits.becomeLeader(0, 1);
        tick(1);
    }

    private void look(int i, Look look, long life) {
        looks.put(instance(i), new DisruptionController.Seen(look, life));
    }

    private List<DisruptionCommand> tick(double now) {
        permits.membersObserved(now, looks);
        List<DisruptionCommand> ops = new ArrayList<>(permits.tick(now));
        for (DisruptionCommand op : ops) {
            ledger.apply(op);
            permits.commandCompleted(op);
        }
        return ops;
    }

    private void ask(int i) {
        ledger.apply(new DisruptionCommand.Ask(instance(i), Why.OPERATOR, "r" + i, "op"));
    }

    private Phase phase(int i) {
        Disruption out = ledger.get(instance(i));
        return out == null ? null : out.phase();
    }

    @Test
    void aNewLeaderLooksRoundBeforeItLetsAnybodyGo() {
        ask(0);
        permits.becomeLeader(10, 4);
        assertThat(tick(13)).isEmpty();
        tick(14);
        assertThat(phase(0)).isEqualTo(Phase.GRANTED);
    }

    @Test
    void whoAskedFirstGoesFirstAndIsNotOvertakenForItsPlace() {
        ask(0);
        ask(1);
        ask(3);
        ask(4);
        tick(2);
        assertThat(phase(0)).isEqualTo(Phase.GRANTED);
        // n1 waits for the east, and the second place of the hall is kept for it.
        assertThat(phase(1)).isEqualTo(Phase.ASKED);
        assertThat(phase(3)).isEqualTo(Phase.ASKED);
        assertThat(permits.blocked().get(instance(1))).contains("east");
        ledger.apply(new DisruptionCommand.GivenUp(instance(0), "op"));
        tick(3);
        assertThat(phase(1)).isEqualTo(Phase.GRANTED);
        assertThat(phase(3)).isEqualTo(Phase.GRANTED);
        assertThat(phase(4)).isEqualTo(Phase.ASKED);
    }

    @Test
    void oneThatIsSuspectedOrColdCountsAsOut() {
        look(4, Look.SUSPECTED, 1);
        look(5, Look.UNSTEADY, 1);
        ask(0);
        tick(2);
        assertThat(phase(0)).isEqualTo(Phase.ASKED);
        look(4, Look.STEADY, 1);
        tick(3);
        assertThat(phase(0)).isEqualTo(Phase.GRANTED);
    }

    @Test
    void oneThatIsGoneIsWrittenDownAsLostAndBackOnlyOnceSteady() {
        look(5, Look.GONE, 1);
        tick(2);
        assertThat(phase(5)).isNull();
        tick(4.1);
        assertThat(phase(5)).isEqualTo(Phase.GONE);
        look(5, Look.UNSTEADY, 2);
        tick(5);
        assertThat(phase(5)).isEqualTo(Phase.RETURNING);
        tick(6);
        assertThat(phase(5)).isEqualTo(Phase.RETURNING);
        look(5, Look.STEADY, 2);
        tick(7);
        assertThat(phase(5)).isNull();
    }

    @Test
    void oneThatDrainsIsStillHeardAndIsNotBackUntilAnotherLifeOfItIs() {
        ask(3);
        tick(2);
        ledger.apply(new DisruptionCommand.Leaves(instance(3), ledger.get(instance(3)).token(), 1, ""));
        tick(3);
        assertThat(phase(3)).isEqualTo(Phase.GONE);
        look(3, Look.GONE, 1);
        tick(9);
        look(3, Look.STEADY, 2);
        tick(10);
        tick(11);
        assertThat(phase(3)).isNull();
    }

    @Test
    void oneThatDiedWithItsPermissionComesBackLikeAnyOther() {
        ask(3);
        tick(2);
        look(3, Look.GONE, 1);
        tick(8);
        assertThat(phase(3)).as("it may only be cut off, and still go").isEqualTo(Phase.GRANTED);
        look(3, Look.UNSTEADY, 2);
        tick(9);
        assertThat(phase(3)).isEqualTo(Phase.RETURNING);
    }

    @Test
    void withMostOfTheHallOutOfSightNobodyIsLostAndNobodyGoes() {
        ask(0);
        for (int i = 2; i < 6; i++) {
            look(i, Look.GONE, 1);
        }
        for (double t = 2; t < 20; t++) {
            assertThat(tick(t)).isEmpty();
        }
        assertThat(permits.blocked().get(instance(0))).contains("most of the hall");
    }

    @Test
    void aHaltHoldsAllBackAndIsTold() {
        ask(0);
        ledger.apply(new DisruptionCommand.Halt("by hand"));
        tick(2);
        assertThat(permits.blocked().get(instance(0))).isEqualTo("halted: by hand");
        ledger.apply(new DisruptionCommand.Halt(null));
        tick(3);
        assertThat(phase(0)).isEqualTo(Phase.GRANTED);
    }
}
