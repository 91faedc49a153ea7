package topazladder.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import topazladder.config.FaultScheduleFile;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionTarget;
import topazladder.emulator.hall.Fleet;
import topazladder.emulator.hall.HallWorld;
import topazladder.emulator.hall.Plant;
import topazladder.emulator.hall.Supervisor;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.faults.Mutations;
import topazladder.faults.Schedule;
import topazladder.membership.Membership;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.RolloutPlan;

/**
 * Looks in virtual time for schedules that are worse and worse in one measure, by small changes that are kept where
 * they do not better it; then for the shortest that is nearly as bad.
 */
public final class WorstExperiment {
    private static final double QUIET = 60;
    private static final double BEGIN = 8;
    /** Part of the worst that the shortest schedule still has to show. */
    private static final double NEARLY = 0.9;

    public static final String HEAD = "| measure | members | start | worst | faults | shortest, faults | shows | broken"
            + " |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";

    /** What is to be as bad as can be. */
    public enum Measure {
        /** Seconds without a holder. */
        GAP,
        /** Part of the payoff that is lost. */
        PAYOFF,
        /** Instances that do not serve at once. */
        DOWN,
        /** Messages that one member says. */
        SAID
    }

    private WorstExperiment() {}

    /** What one play came to, by measure. */
    private record Played(Map<Measure, Double> by, List<String> broken) {
    }

    private static Played play(Schedule s) {
        Fleet fleet = new Fleet(s.processes(), 0.6, Map.of(), new SplittableRandom(s.seed()));
        int budget = Math.max(1, s.processes() / 4);
        HallWorld world = new HallWorld(s, new HallWorld.Setup(s.processes(), s.voters(), 2, 2, 0.2,
                new Membership.Settings(0.3, 3, 3600),
                List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", budget, 1)),
                new HallWorld.Roll(fleet, Supervisor.GOOD, 2, 2, Set.of())), Plant.NONE).open();
        world.time().runUntil(5.9);
        world.mostOut();
        world.ledger().measureAnew();
        world.time().schedule(BEGIN - 5.9,
                () -> world.release(new RolloutPlan("b", "A", "B", List.of(new RolloutPlan.Wave("", 1, 1, 4)),
                        CanaryAnalysis.Thresholds.DEFAULT, 40, 3, s.processes(), false)));
        world.time().runUntil(s.length());
        HallWorld.Outcome o = world.outcome();
        List<String> broken = new ArrayList<>(o.breaks());
        broken.addAll(o.stuck());
        return new Played(Map.of(Measure.GAP, o.longestGap(), Measure.PAYOFF, 1 - fleet.payoff()[1] / fleet.payoff()[0],
                Measure.DOWN, (double) world.mostOut(), Measure.SAID, (double) o.saidByBusiest() / s.length()), broken);
    }

    /** What a schedule breaks, in a hall that is released meanwhile. */
    public static List<String> played(Schedule s) {
        return play(s).broken();
    }

    /** Looks for the worst of each measure; what is found goes to a folder as schedules. */
    public static Result search(long seed, int members, int rounds, Path folder) throws IOException {
        StringBuilder out = new StringBuilder();
        List<Long> bad = new ArrayList<>();
        for (Measure m : Measure.values()) {
            ToDoubleFunction<Played> value = p -> p.by().get(m);
            SplittableRandom chance = new SplittableRandom(seed * 7 + m.ordinal());
            Schedule worst = Schedule.draw(seed, members, QUIET);
            double start = value.applyAsDouble(play(worst));
            double most = start;
            List<String> broken = List.of();
            int beside = Runtime.getRuntime().availableProcessors();
            for (int r = 0; r < rounds && broken.isEmpty(); r++) {
                Schedule from = worst;
                List<Schedule> next = IntStream.range(0, beside).mapToObj(i -> Mutations.mutated(i % 2 == 0 ? from
                        : Mutations.mutated(from, chance), chance)).toList();
                List<Played> played = next.parallelStream().map(WorstExperiment::play).toList();
                for (int i = 0; i < beside; i++) {
                    if (!played.get(i).broken().isEmpty()) {
                        broken = played.get(i).broken();
                        worst = next.get(i);
                        break;
                    }
                    if (value.applyAsDouble(played.get(i)) >= most) {
                        most = value.applyAsDouble(played.get(i));
                        worst = next.get(i);
                    }
                }
            }
            boolean breaks = !broken.isEmpty();
            double atLeast = NEARLY * most;
            Schedule shortest = Mutations.shrunk(worst, s -> {
                Played p = play(s);
                return breaks ? !p.broken().isEmpty() : value.applyAsDouble(p) >= atLeast;
            });
            if (breaks) {
                bad.add((long) m.ordinal());
                System.err.println(m + ": " + broken + "\n" + FaultScheduleFile.text(shortest));
            }
            if (folder != null) {
                Files.createDirectories(folder);
                Files.writeString(folder.resolve(m.name().toLowerCase(Locale.ROOT) + "-" + members + "-" + seed
                        + ".txtpb"), "# " + m.name().toLowerCase(Locale.ROOT) + " of " + members + " members, found"
                                + " from seed " + seed + ": " + String.format(Locale.ROOT, "%.2f",
                                        value.applyAsDouble(play(shortest)))
                                + "\n" + FaultScheduleFile.text(shortest));
            }
            out.append(String.format(Locale.ROOT, "| %s | %d | %.2f | %.2f | %d | %d | %.2f | %s |%n",
                    m.name().toLowerCase(Locale.ROOT), members, start, most, worst.faults().size(),
                    shortest.faults().size(), value.applyAsDouble(play(shortest)), breaks ? broken.get(0) : ""));
        }
        return new Result(out.toString(), bad);
    }
}
