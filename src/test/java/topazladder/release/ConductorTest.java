package topazladder.release;

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
import topazladder.release.Place.Stage;
import topazladder.release.Release.Phase;

/** A conductor, step by step, on the ledgers that it moves; the instances do what the test says. */
class ConductorTest {
    private static final Plan PLAN = new Plan("b", "A", "B", List.of(new Plan.Wave("", 1, 1, 10)), Judge.Terms.USUAL,
            30,
            2, 1, false);

    private final LeaseStateMachine duties = new LeaseStateMachine();
    private final DisruptionStateMachine outs = new DisruptionStateMachine();
    private final ReleaseLedger ledger = new ReleaseLedger(duties, outs);
    private final Map<String, String> versions = new TreeMap<>();
    private final Map<String, Long> lives = new TreeMap<>();
    private final Map<String, Health> looks = new TreeMap<>();
    private double now;
    private Conductor conductor;

    private static DisruptionTarget instance(String name) {
        return new DisruptionTarget(DisruptionTarget.Kind.INSTANCE, name, "");
    }

    @BeforeEach
    void setUp() {
        duties.apply(new LeaseCommand.Define(List.of(new LeaseSettings("release", 2, 3))));
        outs.apply(new DisruptionCommand.SetBudgets(
                List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", 2, 1))));
        for (int i = 0; i < 5; i++) {
            versions.put("n" + i, "A");
            lives.put("n" + i, 1L);
            looks.put("n" + i, Health.STEADY);
        }
        conducts("n3", 0);
        start(PLAN);
    }

    private void start(Plan plan) {
        List<Place> places = versions.keySet().stream().map(n -> new Place(n, "", n.compareTo("n3") < 0, 0, Stage.LEFT,
                0))
                .toList();
        ledger.apply(new ReleaseOp.Start(ReleaseOp.By.operator(0), plan, Waves.of(plan, places, "n3")));
    }

    /** Another takes the duty over, and knows nothing of what the one before had in mind. */
    private void conducts(String name, long seen) {
        if (seen > 0) {
            duties.apply(new LeaseCommand.Expire("release", seen));
        }
        duties.apply(new LeaseCommand.Grant("release", new MemberIdentity(name, 1), seen));
        conductor = new Conductor(name, new ReleaseOp.By("release", seen + 1, 0));
    }

    private View view() {
        List<View.Sight> sights = new ArrayList<>();
        versions.forEach((n, v) -> sights.add(new View.Sight(n, "", looks.get(n), lives.get(n), outs.get(instance(n)),
                null,
                new LoadReport(v, 3, 10, 9.9, 0, 12, 50))));
        return new View(ledger.release(), sights);
    }

    private List<ReleaseOp> step() {
        now += 1;
        List<ReleaseOp> ops = conductor.next(now, 0, view());
        ops.forEach(ledger::apply);
        outs.waiting().forEach(o -> outs.apply(new DisruptionCommand.Grant(o.target(), o.requestId(),
                lives.get(o.target().name()))));
        return ops;
    }

    private List<String> gone() {
        return outs.targetsUsingBudget().stream().map(DisruptionTarget::name).sorted().toList();
    }

    /** It goes, and is back as that version, steady or not yet. */
    private void comesBack(String name, String as, boolean steady) {
        Disruption out = outs.get(instance(name));
        outs.apply(new DisruptionCommand.Leaving(instance(name), out.token(), lives.get(name), ""));
        lives.merge(name, 1L, Long::sum);
        versions.put(name, as);
        outs.apply(new DisruptionCommand.Returning(instance(name), lives.get(name)));
        if (steady) {
            outs.apply(new DisruptionCommand.Steady(instance(name)));
        }
    }

    private void steps(int count) {
        for (int i = 0; i < count; i++) {
            step();
        }
    }

    @Test
    void oneGoesFirstAndIsJudgedThenTheRestWithVotersOneByOneAndTheConductorLast() {
        steps(2);
        assertThat(gone()).containsExactly("n4");
        comesBack("n4", "B", true);
        steps(5);
        assertThat(ledger.release().wave()).as("it is still judged").isZero();
        steps(20);
        assertThat(ledger.release().wave()).isEqualTo(1);
        List<String> order = new ArrayList<>();
        for (int i = 0; i < 12 && ledger.release().phase() != Phase.DONE; i++) {
            steps(2);
            assertThat(gone()).as("voters together").filteredOn(n -> n.compareTo("n3") < 0).hasSizeLessThan(2);
            gone().forEach(n -> {
                order.add(n);
                comesBack(n, "B", true);
            });
        }
        assertThat(order).containsExactly("n0", "n1", "n2", "n3");
        steps(3);
        assertThat(ledger.release().phase()).isEqualTo(Phase.DONE);
    }

    /** The leader that started it had not heard of n9, which without a place stayed on A when the release was done. */
    @Test
    void aMemberThatIsHeardOfLaterIsReleasedToo() {
        steps(2);
        versions.put("n9", "A");
        lives.put("n9", 1L);
        looks.put("n9", Health.STEADY);
        for (int i = 0; i < 80 && ledger.release().phase() != Phase.DONE; i++) {
            step();
            gone().forEach(n -> comesBack(n, "B", true));
        }
        assertThat(ledger.release().phase()).isEqualTo(Phase.DONE);
        assertThat(versions.values()).containsOnly("B");
        assertThat(ledger.release().place("n9").stage()).isEqualTo(Stage.MOVED);
    }

    @Test
    void aMemberIsAddedOnceAndOnlyByWhoeverConducts() {
        ReleaseOp.By by = new ReleaseOp.By("release", 1, 0);
        ReleaseOp.AddPlace add = new ReleaseOp.AddPlace(by, 1, 1, "n9", "east", true);
        assertThat(ledger.apply(new ReleaseOp.AddPlace(new ReleaseOp.By("release", 7, 0), 1, 1, "n9", "", true)).done())
                .as("under a token that conducts no more").isFalse();
        assertThat(ledger.apply(new ReleaseOp.AddPlace(by, 1, 9, "n9", "", true)).done()).as("of another direction")
                .isFalse();
        assertThat(ledger.apply(add).done()).isTrue();
        assertThat(ledger.apply(add).why()).isEqualTo("it has a place already");
        assertThat(ledger.release().place("n9")).isEqualTo(new Place("n9", "east", true, 1, Stage.LEFT, 0));
    }

    @Test
    void nobodyIsAddedWhereMostVotersCanNotReadIt() {
        versions.put("n9", "A");
        lives.put("n9", 1L);
        looks.put("n9", Health.STEADY);
        View all = view();
        View old = new View(all.release(), all.members(), "", false);
        assertThat(conductor.next(1, 0, old)).noneMatch(ReleaseOp.AddPlace.class::isInstance);
        assertThat(conductor.next(2, 0, all)).anyMatch(ReleaseOp.AddPlace.class::isInstance);
    }

    @Test
    void anotherConductorGoesOnWhereTheLastOneStoppedAndDoesNoStepTwice() {
        steps(2);
        Conductor old = conductor;
        View seen = view();
        conducts("n2", 1);
        assertThat(step()).isEmpty();
        // What the one before still says is refused, whatever it is.
        assertThat(old.next(now, 0, seen)).allMatch(op -> !ledger.apply(op).done());
        assertThat(ledger.apply(new ReleaseOp.Halt(new ReleaseOp.By("release", 1, 0), 1, "x")).done()).isFalse();
        comesBack("n4", "B", true);
        steps(3);
        assertThat(ledger.release().place("n4").stage()).isEqualTo(Stage.MOVED);
        assertThat(ledger.release().place("n4").attempt()).isEqualTo(1);
        assertThat(ledger.apply(new ReleaseOp.Ask(new ReleaseOp.By("release", 2, 0), 1, 1, "n4", 2)).why())
                .contains("was done");
    }

    @Test
    void oneThatComesBackAsItWasIsAskedForAgainAndThenTheReleaseIsHalted() {
        for (int i = 0; i < 2; i++) {
            steps(3);
            assertThat(gone()).containsExactly("n4");
            comesBack("n4", "A", true);
        }
        steps(3);
        assertThat(ledger.release().phase()).isEqualTo(Phase.HALTED);
        assertThat(ledger.release().why()).contains("n4 does not come back as B");
        assertThat(gone()).isEmpty();
    }

    @Test
    void oneThatDoesNotComeBackHaltsItAndItsPlaceStaysTaken() {
        steps(2);
        outs.apply(new DisruptionCommand.Leaving(instance("n4"), outs.get(instance("n4")).token(), 1, ""));
        looks.put("n4", Health.GONE);
        steps(29);
        assertThat(ledger.release().phase()).isEqualTo(Phase.RUNNING);
        steps(5);
        assertThat(ledger.release().why()).contains("n4 is not back");
        assertThat(gone()).containsExactly("n4");
    }

    @Test
    void oneThatEndsAgainAndAgainHaltsIt() {
        steps(2);
        comesBack("n4", "B", false);
        for (int i = 0; i < 4; i++) {
            step();
            lives.merge("n4", 1L, Long::sum);
        }
        steps(2);
        assertThat(ledger.release().why()).contains("n4 ends again and again");
    }

    @Test
    void tooManyOutForOtherReasonsHaltIt() {
        step();
        outs.apply(new DisruptionCommand.Leaving(instance("n0"), 0, 1, "a signal"));
        outs.apply(new DisruptionCommand.Lost(instance("n1"), 1));
        steps(2);
        assertThat(ledger.release().why()).contains("2 are out for other reasons");
    }

    @Test
    void whatIsHaltedTakesBackWhatWasNotUsedAndAWayBackGoesFromTheMiddle() {
        steps(2);
        comesBack("n4", "B", true);
        steps(25);
        assertThat(ledger.release().wave()).isEqualTo(1);
        steps(2);
        assertThat(gone()).isNotEmpty();
        assertThat(ledger.apply(new ReleaseOp.Halt(ReleaseOp.By.operator(0), 1, "by hand")).done()).isTrue();
        assertThat(gone()).as("had leave and had not gone").isEmpty();
        steps(3);
        assertThat(gone()).isEmpty();
        // Both words at the same moment, in either order, and each twice.
        assertThat(ledger.apply(new ReleaseOp.Back(ReleaseOp.By.operator(0), 1)).done()).isTrue();
        assertThat(ledger.apply(new ReleaseOp.Back(ReleaseOp.By.operator(0), 1)).why()).contains("already");
        assertThat(ledger.apply(new ReleaseOp.Halt(ReleaseOp.By.operator(0), 1, "by hand")).done()).isTrue();
        assertThat(ledger.apply(new ReleaseOp.Resume(ReleaseOp.By.operator(0), 1)).done()).isTrue();
        steps(3);
        assertThat(gone()).containsExactly("n4");
        comesBack("n4", "A", true);
        steps(4);
        assertThat(ledger.release().phase()).isEqualTo(Phase.DONE);
        assertThat(ledger.release().back()).isTrue();
    }

    /** A version that never serves as its peers do holds its place, and would close its own way back. */
    @Test
    void oneThatIsNeverSteadyAsBGoesBackUnderThePlaceThatItHolds() {
        steps(2);
        comesBack("n4", "B", false);
        looks.put("n4", Health.UNSTEADY);
        ledger.apply(new ReleaseOp.Back(ReleaseOp.By.operator(0), 1));
        steps(2);
        assertThat(outs.get(instance("n4")).phase()).isEqualTo(Disruption.Phase.GRANTED);
        comesBack("n4", "A", true);
        looks.put("n4", Health.STEADY);
        steps(4);
        assertThat(ledger.release().phase()).isEqualTo(Phase.DONE);
    }

    /** One that was killed in the middle and runs what it should already stays, steady or not. */
    @Test
    void whatRunsTheTargetIsNotAskedToGoForIt() {
        ledger.apply(new ReleaseOp.Back(ReleaseOp.By.operator(0), 1));
        looks.put("n1", Health.UNSTEADY);
        steps(3);
        assertThat(gone()).isEmpty();
        looks.put("n1", Health.STEADY);
        steps(3);
        assertThat(ledger.release().phase()).isEqualTo(Phase.DONE);
    }

    @Test
    void aReleaseDuringAReleaseIsRefusedAndSoIsAWayBackThatThePlanDoesNotHave() {
        assertThat(ledger.apply(new ReleaseOp.Start(ReleaseOp.By.operator(0), PLAN, ledger.release().places())).why())
                .contains("under way");
        ReleaseLedger other = new ReleaseLedger(duties, new DisruptionStateMachine());
        other.apply(new ReleaseOp.Start(ReleaseOp.By.operator(0), new Plan("b", "A", "B", PLAN.waves(), PLAN.judge(),
                30, 2,
                1, true), ledger.release().places()));
        assertThat(other.apply(new ReleaseOp.Back(ReleaseOp.By.operator(0), 1)).why()).contains("no way back");
    }
}
