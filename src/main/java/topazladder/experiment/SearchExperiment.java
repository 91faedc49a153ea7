package topazladder.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import topazladder.emulator.hall.LeaseModel;
import topazladder.emulator.hall.PermitModel;
import topazladder.emulator.hall.PlanModel;
import topazladder.emulator.hall.Plant;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.search.Explorer;
import topazladder.search.Model;

/** All that may happen, up to a depth, on the program's own state machines. */
public final class SearchExperiment {
    public static final String HEAD = "| protocol | bounds | planted | states | steps | depth | broken |\n"
            + "| --- | --- | --- | --- | --- | --- | --- |\n";
    /** All clocks that may run fast or slow: of two members and two voters. */
    private static final int CLOCKS = 16;

    private SearchExperiment() {}

    /** One protocol with its bounds and the mistakes that it should show. */
    private record Searched(String name, String bounds, List<Plant> plants,
            java.util.function.Function<Plant, Supplier<Model>> start) {
    }

    private static List<Searched> all() {
        List<Searched> all = new ArrayList<>();
        LeaseModel.Bounds lease = new LeaseModel.Bounds(14, 1, 1, 1);
        // Slow members under fast leaders are the worst for the promise, and the other way round for progress.
        for (int fast : new int[] {0b1100, 0b0011, CLOCKS - 1}) {
            all.add(new Searched("lease", lease + ", fast clocks " + Integer.toBinaryString(fast), List.of(
                    Plant.CLOCKS_IGNORED, Plant.NEW_LEADER_DOES_NOT_WAIT, Plant.COUNTS_FROM_THE_ANSWER,
                    Plant.EXPIRES_EARLY, Plant.SAME_TOKEN, Plant.RENEWS_WHAT_ENDS, Plant.TAKES_ANY_ANSWER,
                    Plant.ANSWERS_ALONE, Plant.GRANTS_WHILE_HELD),
                    plant -> () -> new LeaseModel(plant, lease, fast)));
        }
        PermitModel.Bounds permits = new PermitModel.Bounds(8, 1, 1, 1);
        all.add(new Searched("permission", permits.toString(), List.of(Plant.GOES_WITHOUT_A_WORD,
                Plant.COUNTS_THE_COLD_AS_THERE, Plant.FREES_THE_LOST, Plant.ANY_PERMISSION_COUNTS),
                plant -> () -> new PermitModel(plant, permits)));
        for (int budget : new int[] {1, 2}) {
            PlanModel.Bounds plan = new PlanModel.Bounds(1, 1, 1, budget);
            all.add(new Searched("plan", plan.toString(), List.of(Plant.TAKES_ANY_RETURN_FOR_MOVED,
                    Plant.OBEYS_AN_EARLIER_CONDUCTOR, Plant.VOTERS_TOGETHER, Plant.A_STEP_TWICE),
                    plant -> () -> new PlanModel(plant, plan)));
        }
        return all;
    }

    /** @param plants whether mistakes are planted as well */
    public static Result search(int depth, long states, boolean plants) {
        StringBuilder out = new StringBuilder();
        List<Long> broken = new ArrayList<>();
        for (Searched s : all()) {
            List<Plant> each = new ArrayList<>(List.of(Plant.NONE));
            if (plants) {
                each.addAll(s.plants());
            }
            for (Plant plant : each) {
                Explorer.Found f = Explorer.explore(s.start().apply(plant), depth, states);
                out.append(String.format(Locale.ROOT, "| %s | %s | %s | %d | %d | %d%s | %s |%n", s.name(), s.bounds(),
                        plant.name().toLowerCase(Locale.ROOT).replace('_', ' '), f.states(), f.steps(), f.depth(),
                        f.whole() ? ", all" : "", f.broken() == null ? "" : f.broken() + ", in " + f.way().size()
                                + " steps"));
                if (f.broken() != null && plant == Plant.NONE) {
                    broken.add((long) f.way().size());
                    f.way().forEach(w -> System.err.println("  " + w));
                }
            }
        }
        return new Result(out.toString(), broken);
    }
}
