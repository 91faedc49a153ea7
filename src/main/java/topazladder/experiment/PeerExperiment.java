package topazladder.experiment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import topazladder.config.EstimateKindNames;
import topazladder.emulator.PeerTrial;
import topazladder.emulator.PeerTrial.Condition;
import topazladder.emulator.PeerTrial.Outcome;
import topazladder.emulator.PeerTrial.Told;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.rig.PeerRig;

/** Pairs of one cold start each, with and without a peer, in virtual time; the same seeds give the same table. */
public final class PeerExperiment {
    private static final long FIRST_SEED = 20261201;
    private static final int FIRST_WINDOWS = (int) (PeerTrial.FIRST / PeerTrial.WINDOW);

    /** Of one condition and one way of being told: what was lost at first, and seconds to steady service. */
    public record Result(Pairs lost, Pairs steady) {
    }

    private PeerExperiment() {}

    public static Result pairs(Condition condition, Told told, Set<Kind> leftOut, int seeds) {
        double[][] all = IntStream.range(0, seeds).parallel().mapToObj(i -> {
            Outcome without = PeerTrial.play(condition, Told.NOTHING, FIRST_SEED + i, Set.of());
            Outcome with = PeerTrial.play(condition, told, FIRST_SEED + i, leftOut);
            return new double[] {with.lostAtFirst(FIRST_WINDOWS), without.lostAtFirst(FIRST_WINDOWS),
                    with.secondsToSteady(), without.secondsToSteady()};
        }).toArray(double[][]::new);
        return new Result(new Pairs(column(all, 0), column(all, 1)), new Pairs(column(all, 2), column(all, 3)));
    }

    private static double[] column(double[][] all, int i) {
        return IntStream.range(0, all.length).mapToDouble(j -> all[j][i]).toArray();
    }

    /** The table for readers, in Markdown. */
    public static String table(int seeds) {
        StringBuilder out = new StringBuilder("# Learning from a peer, emulated\n\n" + seeds
                + " pairs a row, seeds from "
                + FIRST_SEED + "; four instances in virtual time, one of which returns cold. Share of the payoff asked"
                + " for in the first " + (int) (FIRST_WINDOWS * PeerTrial.WINDOW)
                + " s that was not earned, and seconds"
                + " until its windows of 2 s stay within 5% of a warm one's; 95% intervals by Student's t, luck by"
                + " Wilcoxon's signed ranks.\n\n");
        String head = " | alone | told | difference | quartiles | luck |\n| --- | --- | --- | --- | --- | --- |\n";
        StringBuilder lost = new StringBuilder("| payoff lost" + head);
        StringBuilder steady = new StringBuilder("| seconds to steady" + head);
        for (Condition condition : Condition.values()) {
            for (Told told : EnumSet.complementOf(EnumSet.of(Told.NOTHING))) {
                Result r = pairs(condition, told, Set.of(), seeds);
                lost.append("| ").append(condition).append(", ").append(told).append(" | ").append(r.lost().row())
                        .append(" |\n");
                steady.append("| ").append(condition).append(", ").append(told).append(" | ").append(r.steady()
                        .row()).append(" |\n");
            }
            for (Map.Entry<Kind, Result> e : alone(condition, seeds).entrySet()) {
                lost.append("| ").append(condition).append(", only ")
                        .append(EstimateKindNames.name(e.getKey())).append(" | ")
                        .append(e.getValue().lost().row()).append(" |\n");
            }
        }
        return out.append(lost).append('\n').append(steady).toString();
    }

    /** Each kind of fact by itself: which one carries the gain, and which would harm. */
    public static Map<Kind, Result> alone(Condition condition, int seeds) {
        Map<Kind, Result> all = new EnumMap<>(Kind.class);
        for (Kind kind : Kind.values()) {
            all.put(kind, pairs(condition, Told.ALL, EnumSet.complementOf(EnumSet.of(kind)), seeds));
        }
        return all;
    }

    /** The same with real processes on loopback: pairs in one run each, so many runs beside each other. */
    public static String loopback(int seeds, int beside) throws InterruptedException {
        StringBuilder out = new StringBuilder("# Learning from a peer, real processes on loopback\n\n" + seeds
                + " pairs a row, seeds from " + FIRST_SEED
                + "; two warm instances, two that return cold at the same moment,"
                + " one of them told by a warm one. All times a quarter of the operators' brief: payoff lost in the"
                + " first"
                + " 3.5 s, windows of 0.5 s. 95% intervals by Student's t, luck by Wilcoxon's signed ranks.\n\n");
        String head = " | alone | told | difference | quartiles | luck |\n| --- | --- | --- | --- | --- | --- |\n";
        StringBuilder lost = new StringBuilder("| payoff lost" + head);
        StringBuilder steady = new StringBuilder("| seconds to steady" + head);
        for (Condition condition : Condition.values()) {
            List<double[]> all = Collections.synchronizedList(new ArrayList<>());
            ExecutorService pool = Executors.newFixedThreadPool(beside);
            for (int i = 0; i < seeds; i++) {
                long seed = FIRST_SEED + i;
                pool.execute(() -> {
                    try {
                        PeerRig.Pair p = PeerRig.play(condition, seed);
                        if (p.factsTaken() > 0) {
                            all.add(new double[] {p.told().lostAtFirst(FIRST_WINDOWS),
                                    p.alone().lostAtFirst(FIRST_WINDOWS), p.told().secondsToSteady(),
                                    p.alone().secondsToSteady()});
                        } else {
                            System.err.println(condition + " seed " + seed + ": nothing was learned");
                        }
                    } catch (Exception e) {
                        System.err.println(condition + " seed " + seed + " failed: " + e);
                    }
                });
            }
            pool.shutdown();
            if (!pool.awaitTermination(1, TimeUnit.HOURS) || all.size() < 2) {
                out.append(condition).append(": too few runs came to an end\n");
                continue;
            }
            double[][] rows = all.toArray(double[][]::new);
            String name = condition + (rows.length < seeds ? " (" + rows.length + " pairs)" : "");
            lost.append("| ").append(name).append(" | ")
                    .append(new Pairs(column(rows, 0), column(rows, 1)).row()).append(" |\n");
            steady.append("| ").append(name).append(" | ")
                    .append(new Pairs(column(rows, 2), column(rows, 3)).row()).append(" |\n");
        }
        return out.append(lost).append('\n').append(steady).toString();
    }
}
