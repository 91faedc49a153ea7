package topazladder.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionTarget;
import topazladder.emulator.hall.Fleet;
import topazladder.emulator.hall.HallWorld;
import topazladder.emulator.hall.Plant;
import topazladder.emulator.hall.Supervisor;
import topazladder.faults.Episode;
import topazladder.faults.Fault;
import topazladder.faults.Schedule;
import topazladder.membership.Membership;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.RolloutPlan;

/** One trouble of a hall in virtual time, and how long all took to be as before. */
final class VirtualEpisode {
    private static final double BEGIN = 30;
    private static final double LOAD = 0.6;
    private static final double STEP = 0.5;
    private static final double BACK_FOR = 3;
    private static final double WITHIN = 0.05;
    private static final double MOST_BACK = 120;
    private static final double MOST_RELEASE = 900;

    private final HallWorld world;
    private final Fleet fleet;
    private double lost;
    private double back;

    VirtualEpisode(int members, long seed, Episode e) {
        SplittableRandom chance = new SplittableRandom(seed);
        fleet = new Fleet(members, LOAD, Map.of(), chance.split());
        List<Fault> faults = new ArrayList<>();
        e.schedule().faults().forEach(f -> faults.add(new Fault(f.at() + BEGIN, f.kind(), f.who(), f.other(),
                f.seconds(), f.amount())));
        Schedule s = new Schedule(seed, members, e.schedule().voters(), e.schedule().clocks(), List.copyOf(faults), 0);
        world = new HallWorld(s,
                new HallWorld.Setup(members, s.voters(), 3, 3, 0.3, new Membership.Settings(0.6, 3, 3600),
                        List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "",
                                Math.max(1, members / 10), 1)),
                        new HallWorld.Roll(fleet, Supervisor.GOOD, 4, 2, Set.of())),
                Plant.NONE).open();
        world.time().runUntil(BEGIN);
        world.ledger().measureAnew();
        double[] before = fleet.payoff();
        if (e.released()) {
            world.release(new RolloutPlan("b", "A", "B", List.of(new RolloutPlan.Wave("", 1, 1, 4)),
                    CanaryAnalysis.Thresholds.DEFAULT, 120, 3,
                    members, false));
        }
        double end = Math.max(BEGIN + 1, faults.stream().mapToDouble(Fault::end).max().orElse(BEGIN));
        world.time().runUntil(end);
        while (e.released() && Double.isNaN(world.doneAt()) && world.time().getAsDouble() < end + MOST_RELEASE) {
            world.time().runUntil(world.time().getAsDouble() + STEP);
        }
        double[] after = fleet.payoff();
        lost = 1 - (after[1] - before[1]) / (after[0] - before[0]);
        double ended = world.time().getAsDouble();
        double good = 0;
        while (good < BACK_FOR && back < MOST_BACK) {
            double[] was = fleet.payoff();
            world.time().runUntil(world.time().getAsDouble() + STEP);
            double[] is = fleet.payoff();
            good = (is[1] - was[1]) / (is[0] - was[0]) >= 1 - WITHIN ? good + STEP : 0;
            back = world.time().getAsDouble() - ended;
        }
        back = Math.max(0, back - BACK_FOR);
        // Time for what duties need to be held again, before it is said that they are not.
        world.time().runUntil(world.time().getAsDouble() + 30);
    }

    double lost() {
        return lost;
    }

    double back() {
        return back;
    }

    double gap() {
        return world.ledger().longestGap();
    }

    List<String> broken() {
        HallWorld.Outcome o = world.outcome();
        List<String> all = new ArrayList<>(o.breaks());
        all.addAll(o.stuck());
        return all;
    }
}
