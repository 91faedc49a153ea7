package topazladder.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazladder.disruption.Disruption.Phase;
import topazladder.disruption.Disruption.Reason;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.DisruptionTarget.Kind;

/** What a leader proposes from its observations: which instances are lost or have returned, what is granted next. */
class DisruptionControllerTest {
    private final DisruptionStateMachine stateMachine = new DisruptionStateMachine();
    private final DisruptionController controller = new DisruptionController(stateMachine, 2);
    private final Map<DisruptionTarget, DisruptionController.Observation> observations = new HashMap<>();

    private static DisruptionTarget instance(int i) {
        return new DisruptionTarget(Kind.INSTANCE, "n" + i, i < 3 ? "east" : "west");
    }

    @BeforeEach
    void setUp() {
        stateMachine
                .apply(new DisruptionCommand.SetBudgets(List.of(new DisruptionBudget("hall", Kind.INSTANCE, "", 2, 1),
                        new DisruptionBudget("east", Kind.INSTANCE, "east", 1, 1))));
        for (int i = 0; i < 6; i++) {
            observe(i, Health.STEADY, 1);
        }
        controller.becomeLeader(0, 1);
        tick(1);
    }

    private void observe(int i, Health health, long incarnation) {
        observations.put(instance(i), new DisruptionController.Observation(health, incarnation));
    }

    private List<DisruptionCommand> tick(double now) {
        controller.membersObserved(now, observations);
        List<DisruptionCommand> commands = new ArrayList<>(controller.tick(now));
        for (DisruptionCommand command : commands) {
            stateMachine.apply(command);
            controller.commandCompleted(command);
        }
        return commands;
    }

    private void request(int i) {
        stateMachine.apply(new DisruptionCommand.Request(instance(i), Reason.OPERATOR, "r" + i, "op"));
    }

    private Phase phase(int i) {
        Disruption disruption = stateMachine.get(instance(i));
        return disruption == null ? null : disruption.phase();
    }

    @Test
    void aNewLeaderGrantsNothingBeforeItHadTimeToObserve() {
        request(0);
        controller.becomeLeader(10, 4);
        assertThat(tick(13)).isEmpty();
        tick(14);
        assertThat(phase(0)).isEqualTo(Phase.GRANTED);
    }

    @Test
    void theFirstBlockedRequestReservesItsPartOfTheBudgets() {
        request(0);
        request(1);
        request(3);
        request(4);
        tick(2);
        assertThat(phase(0)).isEqualTo(Phase.GRANTED);
        // n1 waits for the budget of the east zone, and reserves the second unit of the cluster's budget meanwhile.
        assertThat(phase(1)).isEqualTo(Phase.ASKED);
        assertThat(phase(3)).isEqualTo(Phase.ASKED);
        assertThat(controller.blockedReasons().get(instance(1))).contains("east");
        stateMachine.apply(new DisruptionCommand.GiveUp(instance(0), "op"));
        tick(3);
        assertThat(phase(1)).isEqualTo(Phase.GRANTED);
        assertThat(phase(3)).isEqualTo(Phase.GRANTED);
        assertThat(phase(4)).isEqualTo(Phase.ASKED);
    }

    @Test
    void anInstanceThatIsSuspectedOrNotSteadyCountsAsUnavailable() {
        observe(4, Health.SUSPECTED, 1);
        observe(5, Health.UNSTEADY, 1);
        request(0);
        tick(2);
        assertThat(phase(0)).isEqualTo(Phase.ASKED);
        observe(4, Health.STEADY, 1);
        tick(3);
        assertThat(phase(0)).isEqualTo(Phase.GRANTED);
    }

    @Test
    void anInstanceThatIsGoneIsRecordedAsLostUntilItIsSteadyAgain() {
        observe(5, Health.GONE, 1);
        tick(2);
        assertThat(phase(5)).isNull();
        tick(4.1);
        assertThat(phase(5)).isEqualTo(Phase.GONE);
        observe(5, Health.UNSTEADY, 2);
        tick(5);
        assertThat(phase(5)).isEqualTo(Phase.RETURNING);
        tick(6);
        assertThat(phase(5)).isEqualTo(Phase.RETURNING);
        observe(5, Health.STEADY, 2);
        tick(7);
        assertThat(phase(5)).isNull();
    }

    @Test
    void anInstanceThatDrainsHasNotReturnedBeforeItsNextIncarnationIsHeard() {
        request(3);
        tick(2);
        stateMachine.apply(new DisruptionCommand.Leaving(instance(3), stateMachine.get(instance(3)).token(), 1, ""));
        tick(3);
        assertThat(phase(3)).isEqualTo(Phase.GONE);
        observe(3, Health.GONE, 1);
        tick(9);
        observe(3, Health.STEADY, 2);
        tick(10);
        tick(11);
        assertThat(phase(3)).isNull();
    }

    @Test
    void aGrantedInstanceThatDiesReturnsLikeAnyOther() {
        request(3);
        tick(2);
        observe(3, Health.GONE, 1);
        tick(8);
        assertThat(phase(3)).as("it may be partitioned off only, and still shut down").isEqualTo(Phase.GRANTED);
        observe(3, Health.UNSTEADY, 2);
        tick(9);
        assertThat(phase(3)).isEqualTo(Phase.RETURNING);
    }

    @Test
    void whileMostInstancesLookLostNoneIsRecordedAsLostAndNothingIsGranted() {
        request(0);
        for (int i = 2; i < 6; i++) {
            observe(i, Health.GONE, 1);
        }
        for (double t = 2; t < 20; t++) {
            assertThat(tick(t)).isEmpty();
        }
        assertThat(controller.blockedReasons().get(instance(0))).contains("more than half of the cluster");
    }

    @Test
    void aSuspensionBlocksAllGrantsAndSaysWhy() {
        request(0);
        stateMachine.apply(new DisruptionCommand.SuspendGrants("by hand"));
        tick(2);
        assertThat(controller.blockedReasons().get(instance(0))).isEqualTo("halted: by hand");
        stateMachine.apply(new DisruptionCommand.SuspendGrants(null));
        tick(3);
        assertThat(phase(0)).isEqualTo(Phase.GRANTED);
    }
}
