package topazladder.emulator.hall;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import topazladder.cluster.RolloutStart;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionTarget;
import topazladder.emulator.hall.Fleet.Quality;
import topazladder.experiment.ReleasesExperiment;
import topazladder.faults.Fault;
import topazladder.faults.Schedule;
import topazladder.membership.Membership;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutPlan;

/** Releases through a hall in virtual time; what they may not do is looked after by the world. */
class ReleaseWorldTest {
    private static final int MEMBERS = 5;

    private static HallWorld world(List<Fault> faults, Map<String, Quality> versions, Supervisor by, Set<Integer> old) {
        Schedule s = new Schedule(1, MEMBERS, 3, Collections.nCopies(MEMBERS, 1.0), faults, 0);
        return new HallWorld(s, new HallWorld.Setup(MEMBERS, 3, 1, 2, 0.2, new Membership.Settings(0.3, 3, 3600),
                List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", 1, 1)),
                new HallWorld.Roll(new Fleet(MEMBERS, 0.6,
                        versions, new SplittableRandom(5)), by, 2, 2, old)),
                Plant.NONE).open();
    }

    private static RolloutPlan plan() {
        return new RolloutPlan("b", "A", "B", List.of(new RolloutPlan.Wave("", 1, 1, 15)),
                CanaryAnalysis.Thresholds.DEFAULT, 40, 3, 1, false);
    }

    private static Rollout released(HallWorld world, double until) {
        world.time().schedule(8, () -> world.release(plan()));
        world.time().runUntil(until);
        assertThat(world.outcome().breaks()).isEmpty();
        return world.release();
    }

    @Test
    void aHallGoesFromOneVersionToTheOtherOneByOne() {
        HallWorld world = world(List.of(), Map.of(), Supervisor.GOOD, Set.of());
        assertThat(released(world, 120).phase()).isEqualTo(Rollout.Phase.DONE);
        assertThat(world.versions()).containsOnly("B");
        assertThat(world.outs().most()).isEqualTo(1);
    }

    /** n4 is heard by nobody until the release is under way. */
    @Test
    void aMemberThatTheLeaderHasNotHeardOfAtTheStartIsReleasedToo() {
        HallWorld world = world(List.of(new Fault(0, Fault.Kind.ISOLATE, 4, -1, 20, 0)), Map.of(), Supervisor.GOOD,
                Set.of());
        assertThat(released(world, 200).phase()).isEqualTo(Rollout.Phase.DONE);
        assertThat(world.versions()).containsOnly("B");
    }

    @Test
    void aReleaseStartsOnlyOnceTheLeaderHasHadTimeToHearOfEveryMember() {
        HallWorld world = world(List.of(), Map.of(), Supervisor.GOOD, Set.of());
        RolloutPlan plan = plan();
        while (world.leading() == null) {
            world.time().runUntil(world.time().getAsDouble() + 0.05);
        }
        RolloutCommand.Proposer by = RolloutCommand.Proposer.operator(0);
        assertThat(RolloutStart.decide(world.leading(), plan, by).refusal()).contains("try again soon");
        world.time().runUntil(15);
        assertThat(RolloutStart.decide(world.leading(), plan, by).operation().targets()).hasSize(MEMBERS);
    }

    @Test
    void theConductorKilledInTheMiddleIsFollowedByAnother() {
        HallWorld world = world(List.of(new Fault(12, Fault.Kind.KILL_ALL, -1, -1, 2, 0),
                new Fault(40, Fault.Kind.STALL, Fault.LEADER, -1, 6, 0)), Map.of(), Supervisor.GOOD, Set.of());
        assertThat(released(world, 200).phase()).isEqualTo(Rollout.Phase.DONE);
        assertThat(world.versions()).containsOnly("B");
    }

    @Test
    void aVersionThatSpoilsIsHaltedAfterOneInstance() {
        HallWorld world = world(List.of(), Map.of("B", new Quality(0, 0.1, 0, "")), Supervisor.GOOD, Set.of());
        assertThat(released(world, 200).phase()).isEqualTo(Rollout.Phase.HALTED);
        assertThat(Collections.frequency(world.versions(), "B")).isEqualTo(1);
    }

    @Test
    void oneThatComesBackAsAIsAskedForAgainAndThenHaltsIt() {
        HallWorld world = world(List.of(), Map.of(), new Supervisor(1, 0, 0, 0), Set.of());
        Rollout r = released(world, 200);
        assertThat(r.phase()).isEqualTo(Rollout.Phase.HALTED);
        assertThat(r.haltReason()).contains("does not come back as B");
        assertThat(world.versions()).containsOnly("A");
    }

    @Test
    void oneThatEndsSoonAfterEachStartOrNeverComesBackHaltsItWithItsPlaceTaken() {
        HallWorld never = world(List.of(), Map.of(), new Supervisor(0, 0, 1, 0), Set.of());
        Rollout r = released(never, 200);
        assertThat(r.phase()).isEqualTo(Rollout.Phase.HALTED);
        assertThat(r.haltReason()).contains("is not back");
        assertThat(never.outs().went()).isEqualTo(1);
    }

    @Test
    void aZoneThatIsLostInTheMiddleOfAWaveHaltsItAndHoldsTheOthersBack() {
        // zone-1 is n1 and n3.
        HallWorld world = world(List.of(new Fault(14, Fault.Kind.KILL, 1, -1, 30, 0),
                new Fault(14, Fault.Kind.KILL, 3, -1, 30, 0)), Map.of(), Supervisor.GOOD, Set.of());
        Rollout r = released(world, 40);
        assertThat(world.outs().went()).as("outs by agreement while two are lost, of one").isLessThanOrEqualTo(1);
        assertThat(r.phase()).as(r.toString()).isEqualTo(Rollout.Phase.HALTED);
        assertThat(r.haltReason()).contains("out for other reasons");
        world.time().runUntil(80);
        world.order(
                replica -> new RolloutCommand.Resume(RolloutCommand.Proposer.operator(0),
                        replica.state().rollouts().rollout().id()));
        world.time().runUntil(220);
        assertThat(world.release().phase()).isEqualTo(Rollout.Phase.DONE);
        assertThat(world.outcome().breaks()).isEmpty();
    }

    @Test
    void aHaltAndAWayBackAtTheSameMomentEndOnA() {
        HallWorld world = world(List.of(), Map.of(), Supervisor.GOOD, Set.of());
        world.time().schedule(20, () -> {
            world.order(
                    replica -> new RolloutCommand.Halt(RolloutCommand.Proposer.operator(0),
                            replica.state().rollouts().rollout().id(),
                            "me"));
            world.order(
                    replica -> new RolloutCommand.RollBack(RolloutCommand.Proposer.operator(0),
                            replica.state().rollouts().rollout().id()));
        });
        assertThat(released(world, 250).phase()).isEqualTo(Rollout.Phase.DONE);
        assertThat(world.versions()).containsOnly("A");
    }

    @Test
    void theWayBackGoesOnThoughAFailsThereToo() {
        // Both spoil a tenth: nothing is judged on the way back, as there is nowhere else to go.
        HallWorld world = world(List.of(), Map.of("A", new Quality(0, 0.1, 0, ""), "B", new Quality(0, 0.1, 0, "")),
                Supervisor.GOOD, Set.of());
        world.time().schedule(30,
                () -> world.order(replica -> new RolloutCommand.RollBack(RolloutCommand.Proposer.operator(0),
                        replica.state().rollouts().rollout().id())));
        assertThat(released(world, 250).phase()).isEqualTo(Rollout.Phase.DONE);
        assertThat(world.versions()).containsOnly("A");
    }

    @Test
    void wordsThatAreLostAreSaidAgainAndNoneCountsTwice() {
        HallWorld world = world(List.of(new Fault(8, Fault.Kind.LOSS, -1, -1, 100, 0.35),
                new Fault(8, Fault.Kind.TWICE, 1, -1, 100, 0)), Map.of(), Supervisor.GOOD, Set.of());
        world.time().runUntil(6);
        Rollout r = released(world, 300);
        assertThat(r.phase()).as(r.toString()).isNotEqualTo(Rollout.Phase.RUNNING);
    }

    /** Each step of a release, with something broken right then; {@code experiment releases --cuts} plays them all. */
    @Test
    void aCutAtEachStepBreaksNoRuleAndLeavesNoneHanging() {
        assertThat(ReleasesExperiment.cuts(3, 1).table()).contains("| 0 |\n");
    }

    /** One step of versions apart: a minority that can't read what is agreed follows once it runs B. */
    @Test
    void aVoterOfAnOlderProgramIsReleasedToo() {
        HallWorld world = world(List.of(), Map.of(), Supervisor.GOOD, Set.of(2));
        assertThat(released(world, 200).phase()).isEqualTo(Rollout.Phase.DONE);
        assertThat(world.versions()).containsOnly("B");
    }

    @Test
    void nothingBeginsWhereMostVotersCanNotReadIt() {
        HallWorld world = world(List.of(), Map.of(), Supervisor.GOOD, Set.of(1, 2));
        assertThat(released(world, 60)).isNull();
        assertThat(world.outcome().stuck()).as("duties go on").isEmpty();
    }

    @Test
    void drawnSchedulesBreakNoRule() {
        assertThat(ReleasesExperiment.emulated(1, 60, 5).bad()).isEmpty();
        assertThat(ReleasesExperiment.emulated(1, 15, 9).bad()).isEmpty();
    }

    @Test
    void plantedMistakesAreFound() {
        String table = ReleasesExperiment.plants(1, 40, 5);
        for (String plant : List.of("counts the cold as there", "any permission counts", "takes any return for moved",
                "judges b by itself")) {
            assertThat(table.lines().filter(l -> l.startsWith("| " + plant + " |")).findFirst().orElseThrow())
                    .as(plant).contains("seed");
        }
        assertThat(table.lines().filter(l -> l.startsWith("| none |")).findFirst().orElseThrow()).contains("| 0 |");
    }
}
