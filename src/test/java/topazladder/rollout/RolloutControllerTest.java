package topazladder.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazladder.disruption.Disruption;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionCommand;
import topazladder.disruption.DisruptionController.Health;
import topazladder.disruption.DisruptionStateMachine;
import topazladder.disruption.DisruptionTarget;
import topazladder.disruption.LoadReport;
import topazladder.lease.LeaseCommand;
import topazladder.lease.LeaseSettings;
import topazladder.lease.LeaseStateMachine;
import topazladder.lease.MemberIdentity;
import topazladder.rollout.Rollout.Phase;
import topazladder.rollout.RolloutTarget.Stage;

/**
 * The decisions of a rollout controller, step by step, applied to the real state machines; the tests play the
 * instances.
 */
class RolloutControllerTest {
    private static final RolloutPlan PLAN = new RolloutPlan("b", "A", "B", List.of(new RolloutPlan.Wave("", 1, 1, 10)),
            CanaryAnalysis.Thresholds.DEFAULT,
            30, 2, 1, false);

    private final LeaseStateMachine leases = new LeaseStateMachine();
    private final DisruptionStateMachine disruptions = new DisruptionStateMachine();
    private final RolloutStateMachine stateMachine = new RolloutStateMachine(leases, disruptions);
    private final Map<String, String> versions = new TreeMap<>();
    private final Map<String, Long> incarnations = new TreeMap<>();
    private final Map<String, Health> health = new TreeMap<>();
    private double now;
    private RolloutController controller;

    private static DisruptionTarget instance(String name) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, name, "");
    }

    @BeforeEach
    void setUp() {
        leases.apply(new LeaseCommand.Define(List.of(new LeaseSettings("release", 2, 3))));
        disruptions.apply(new DisruptionCommand.SetBudgets(
                List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", 2, 1))));
        for (int i = 0; i < 5; i++) {
            versions.put("n" + i, "A");
            incarnations.put("n" + i, 1L);
            health.put("n" + i, Health.STEADY);
        }
        takeOver("n3", 0);
        start(PLAN);
    }

    private void start(RolloutPlan plan) {
        List<RolloutTarget> places = versions.keySet().stream()
                .map(name -> new RolloutTarget(name, "", name.compareTo("n3") < 0, 0, Stage.LEFT, 0)).toList();
        stateMachine.apply(new RolloutCommand.Start(RolloutCommand.Proposer.operator(0), plan,
                WavePlanner.assign(plan, places, "n3")));
    }

    /** Another instance takes the rollout lease over, without the observations of the holder before it. */
    private void takeOver(String name, long lastToken) {
        if (lastToken > 0) {
            leases.apply(new LeaseCommand.Expire("release", lastToken));
        }
        leases.apply(new LeaseCommand.Grant("release", new MemberIdentity(name, 1), lastToken));
        controller = new RolloutController(name, new RolloutCommand.Proposer("release", lastToken + 1, 0));
    }

    private RolloutStatus view() {
        List<RolloutStatus.InstanceStatus> members = new ArrayList<>();
        versions.forEach(
                (n, v) -> members.add(new RolloutStatus.InstanceStatus(n, "", health.get(n), incarnations.get(n),
                        disruptions.get(instance(n)), null, new LoadReport(v, 3, 10, 9.9, 0, 12, 50))));
        return new RolloutStatus(stateMachine.rollout(), members);
    }

    private List<RolloutCommand> step() {
        now += 1;
        List<RolloutCommand> commands = controller.nextCommands(now, 0, view());
        commands.forEach(stateMachine::apply);
        disruptions.waiting().forEach(waiting -> disruptions.apply(new DisruptionCommand.Grant(waiting.target(),
                waiting.requestId(), incarnations.get(waiting.target().name()))));
        return commands;
    }

    private List<String> unavailable() {
        return disruptions.targetsUsingBudget().stream().map(DisruptionTarget::name).sorted().toList();
    }

    /** Restarts a granted instance in that version, steady or not yet. */
    private void restart(String name, String version, boolean steady) {
        Disruption disruption = disruptions.get(instance(name));
        disruptions.apply(
                new DisruptionCommand.Leaving(instance(name), disruption.token(), incarnations.get(name), ""));
        incarnations.merge(name, 1L, Long::sum);
        versions.put(name, version);
        disruptions.apply(new DisruptionCommand.Returning(instance(name), incarnations.get(name)));
        if (steady) {
            disruptions.apply(new DisruptionCommand.Steady(instance(name)));
        }
    }

    private void steps(int count) {
        for (int i = 0; i < count; i++) {
            step();
        }
    }

    @Test
    void theFirstWaveIsAnalysedThenTheRestGoesWithVotersOneByOneAndTheLeaseHolderLast() {
        steps(2);
        assertThat(unavailable()).containsExactly("n4");
        restart("n4", "B", true);
        steps(5);
        assertThat(stateMachine.rollout().wave()).as("it is still being analysed").isZero();
        steps(20);
        assertThat(stateMachine.rollout().wave()).isEqualTo(1);
        List<String> order = new ArrayList<>();
        for (int i = 0; i < 12 && stateMachine.rollout().phase() != Phase.DONE; i++) {
            steps(2);
            assertThat(unavailable()).as("voters together").filteredOn(n -> n.compareTo("n3") < 0).hasSizeLessThan(2);
            unavailable().forEach(n -> {
                order.add(n);
                restart(n, "B", true);
            });
        }
        assertThat(order).containsExactly("n0", "n1", "n2", "n3");
        steps(3);
        assertThat(stateMachine.rollout().phase()).isEqualTo(Phase.DONE);
    }

    /** n9 was unknown to the leader that started the rollout, and once stayed on A after the rollout was done. */
    @Test
    void aMemberThatIsHeardOfLaterIsUpdatedToo() {
        steps(2);
        versions.put("n9", "A");
        incarnations.put("n9", 1L);
        health.put("n9", Health.STEADY);
        for (int i = 0; i < 80 && stateMachine.rollout().phase() != Phase.DONE; i++) {
            step();
            unavailable().forEach(n -> restart(n, "B", true));
        }
        assertThat(stateMachine.rollout().phase()).isEqualTo(Phase.DONE);
        assertThat(versions.values()).containsOnly("B");
        assertThat(stateMachine.rollout().findTarget("n9").stage()).isEqualTo(Stage.MOVED);
    }

    @Test
    void aMemberIsAddedOnceAndOnlyByTheLeaseHolder() {
        RolloutCommand.Proposer by = new RolloutCommand.Proposer("release", 1, 0);
        RolloutCommand.AddTarget add = new RolloutCommand.AddTarget(by, 1, 1, "n9", "east", true);
        assertThat(stateMachine.apply(
                new RolloutCommand.AddTarget(new RolloutCommand.Proposer("release", 7, 0), 1, 1, "n9", "", true))
                .isApplied())
                        .as("under a fencing token that is not the latest").isFalse();
        assertThat(stateMachine.apply(new RolloutCommand.AddTarget(by, 1, 9, "n9", "", true)).isApplied())
                .as("of another direction of the rollout").isFalse();
        assertThat(stateMachine.apply(add).isApplied()).isTrue();
        assertThat(stateMachine.apply(add).rejection()).isEqualTo("n9 is part of the rollout already");
        assertThat(stateMachine.rollout().findTarget("n9"))
                .isEqualTo(new RolloutTarget("n9", "east", true, 1, Stage.LEFT, 0));
    }

    @Test
    void noMemberIsAddedWhileMostVotersCanNotReadTheCommand() {
        versions.put("n9", "A");
        incarnations.put("n9", 1L);
        health.put("n9", Health.STEADY);
        RolloutStatus current = view();
        RolloutStatus withoutAdditions = new RolloutStatus(current.rollout(), current.members(), "", false);
        assertThat(controller.nextCommands(1, 0, withoutAdditions))
                .noneMatch(RolloutCommand.AddTarget.class::isInstance);
        assertThat(controller.nextCommands(2, 0, current)).anyMatch(RolloutCommand.AddTarget.class::isInstance);
    }

    @Test
    void anotherLeaseHolderResumesWhereTheLastOneStoppedAndRepeatsNoStep() {
        steps(2);
        RolloutController earlier = controller;
        RolloutStatus earlierView = view();
        takeOver("n2", 1);
        assertThat(step()).isEmpty();
        // All commands of the earlier lease holder are rejected.
        assertThat(earlier.nextCommands(now, 0, earlierView))
                .allMatch(command -> !stateMachine.apply(command).isApplied());
        assertThat(stateMachine.apply(new RolloutCommand.Halt(new RolloutCommand.Proposer("release", 1, 0), 1, "x"))
                .isApplied()).isFalse();
        restart("n4", "B", true);
        steps(3);
        assertThat(stateMachine.rollout().findTarget("n4").stage()).isEqualTo(Stage.MOVED);
        assertThat(stateMachine.rollout().findTarget("n4").attempt()).isEqualTo(1);
        assertThat(stateMachine
                .apply(new RolloutCommand.RequestGrant(new RolloutCommand.Proposer("release", 2, 0), 1, 1, "n4", 2))
                .rejection())
                        .contains("attempt 2 to update n4 is not its next");
    }

    @Test
    void anInstanceThatReturnsInTheOldVersionIsRetriedAndThenTheRolloutIsHalted() {
        for (int i = 0; i < 2; i++) {
            steps(3);
            assertThat(unavailable()).containsExactly("n4");
            restart("n4", "A", true);
        }
        steps(3);
        assertThat(stateMachine.rollout().phase()).isEqualTo(Phase.HALTED);
        assertThat(stateMachine.rollout().haltReason()).contains("n4 does not come back as B");
        assertThat(unavailable()).isEmpty();
    }

    @Test
    void anInstanceThatDoesNotReturnHaltsTheRolloutAndKeepsUsingItsBudget() {
        steps(2);
        disruptions.apply(new DisruptionCommand.Leaving(instance("n4"),
                disruptions.get(instance("n4")).token(), 1, ""));
        health.put("n4", Health.GONE);
        steps(29);
        assertThat(stateMachine.rollout().phase()).isEqualTo(Phase.RUNNING);
        steps(5);
        assertThat(stateMachine.rollout().haltReason()).contains("n4 is not back");
        assertThat(unavailable()).containsExactly("n4");
    }

    @Test
    void anInstanceThatCrashesRepeatedlyHaltsTheRollout() {
        steps(2);
        restart("n4", "B", false);
        for (int i = 0; i < 4; i++) {
            step();
            incarnations.merge("n4", 1L, Long::sum);
        }
        steps(2);
        assertThat(stateMachine.rollout().haltReason()).contains("n4 does not stay up");
    }

    @Test
    void tooManyInstancesOutForOtherReasonsHaltTheRollout() {
        step();
        disruptions.apply(new DisruptionCommand.Leaving(instance("n0"), 0, 1, "a signal"));
        disruptions.apply(new DisruptionCommand.Lost(instance("n1"), 1));
        steps(2);
        assertThat(stateMachine.rollout().haltReason()).contains("2 instances are out for other reasons");
    }

    @Test
    void aHaltWithdrawsUnusedGrantsAndARollbackStartsFromTheMiddle() {
        steps(2);
        restart("n4", "B", true);
        steps(25);
        assertThat(stateMachine.rollout().wave()).isEqualTo(1);
        steps(2);
        assertThat(unavailable()).isNotEmpty();
        assertThat(stateMachine.apply(new RolloutCommand.Halt(RolloutCommand.Proposer.operator(0), 1, "by hand"))
                .isApplied()).isTrue();
        assertThat(unavailable()).as("granted and not gone yet").isEmpty();
        steps(3);
        assertThat(unavailable()).isEmpty();
        // A rollback and a halt at the same moment, in either order, and the rollback twice.
        assertThat(stateMachine.apply(new RolloutCommand.RollBack(RolloutCommand.Proposer.operator(0), 1)).isApplied())
                .isTrue();
        assertThat(stateMachine.apply(new RolloutCommand.RollBack(RolloutCommand.Proposer.operator(0), 1)).rejection())
                .contains("already");
        assertThat(stateMachine.apply(new RolloutCommand.Halt(RolloutCommand.Proposer.operator(0), 1, "by hand"))
                .isApplied()).isTrue();
        assertThat(stateMachine.apply(new RolloutCommand.Resume(RolloutCommand.Proposer.operator(0), 1)).isApplied())
                .isTrue();
        steps(3);
        assertThat(unavailable()).containsExactly("n4");
        restart("n4", "A", true);
        steps(4);
        assertThat(stateMachine.rollout().phase()).isEqualTo(Phase.DONE);
        assertThat(stateMachine.rollout().isRollback()).isTrue();
    }

    /** A version that never serves as its peers do keeps using the budget, which must not block its own rollback. */
    @Test
    void anInstanceThatIsNeverSteadyOnBIsRolledBackUnderTheBudgetThatItUses() {
        steps(2);
        restart("n4", "B", false);
        health.put("n4", Health.UNSTEADY);
        stateMachine.apply(new RolloutCommand.RollBack(RolloutCommand.Proposer.operator(0), 1));
        steps(2);
        assertThat(disruptions.get(instance("n4")).phase()).isEqualTo(Disruption.Phase.GRANTED);
        restart("n4", "A", true);
        health.put("n4", Health.STEADY);
        steps(4);
        assertThat(stateMachine.rollout().phase()).isEqualTo(Phase.DONE);
    }

    /** It was killed during the rollout and came back in the target version: it stays up, steady or not. */
    @Test
    void anInstanceThatRunsTheTargetVersionIsNotRestartedForIt() {
        stateMachine.apply(new RolloutCommand.RollBack(RolloutCommand.Proposer.operator(0), 1));
        health.put("n1", Health.UNSTEADY);
        steps(3);
        assertThat(unavailable()).isEmpty();
        health.put("n1", Health.STEADY);
        steps(3);
        assertThat(stateMachine.rollout().phase()).isEqualTo(Phase.DONE);
    }

    @Test
    void aSecondRolloutIsRejectedAndSoIsARollbackOfAPlanThatIsOneWay() {
        assertThat(stateMachine.apply(
                new RolloutCommand.Start(RolloutCommand.Proposer.operator(0), PLAN, stateMachine.rollout().targets()))
                .rejection())
                        .contains("under way");
        RolloutStateMachine ofOneWay = new RolloutStateMachine(leases, new DisruptionStateMachine());
        ofOneWay.apply(new RolloutCommand.Start(RolloutCommand.Proposer.operator(0),
                new RolloutPlan("b", "A", "B", PLAN.waves(), PLAN.thresholds(), 30, 2, 1, true),
                stateMachine.rollout().targets()));
        assertThat(ofOneWay.apply(new RolloutCommand.RollBack(RolloutCommand.Proposer.operator(0), 1)).rejection())
                .contains("no way back");
    }
}
