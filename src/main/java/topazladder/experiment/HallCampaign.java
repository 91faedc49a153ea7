package topazladder.experiment;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.apache.commons.statistics.descriptive.Quantile;
import topazladder.emulator.hall.Supervisor;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.faults.Episode;
import topazladder.faults.Schedule;
import topazladder.rig.HallRig;
import topazladder.rig.HallRig.Sample;
import topazladder.rig.RigPlan;

/**
 * Many real processes under load, one trouble after another for as long as one likes; what callers, duties and outs
 * looked like meanwhile, and how long all took to be as before. Goes on where it stopped, by what it has written down.
 */
public final class HallCampaign {
    private static final double SAMPLE_EVERY = 1;
    /** Samples before a trouble that tell what is usual. */
    private static final int BEFORE = 8;
    /** Seconds over which the payoff has to be back within a twentieth. */
    private static final int BACK_FOR = 3;
    private static final double WITHIN = 0.05;
    /** Seconds after which a hall that is not back counts as one that stays bad. */
    private static final double MOST_BACK = 60;
    private static final double SCALE = 0.25;
    /** Of a process, as operators set them on an ordinary day. */
    private static final double MOST_MB = 192;
    private static final double MOST_DESCRIPTORS = 512;

    public static final String HEAD = "| trouble | times | payoff lost meanwhile, median | most | seconds until the"
            + " payoff is back, median | most | seconds without a holder, median | most | broken |\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

    /** What one trouble came to, as it is kept. */
    private record Kept(int number, String what, double lost, double back, double gap, List<String> broken) {

        JsonObject json() {
            return new JsonObject().put("number", number).put("what", what).put("lost", lost).put("back", back)
                    .put("gap", gap).put("broken", broken);
        }

        static Kept of(JsonObject o) {
            return new Kept(o.getInteger("number"), o.getString("what"), o.getDouble("lost"), o.getDouble("back"),
                    o.getDouble("gap"), o.getJsonArray("broken").stream().map(String::valueOf).toList());
        }
    }

    private record Mark(double from, double to, String what) {
    }

    private final int processes;
    private final long seed;
    private final double load;
    private final Path folder;
    private final List<Kept> kept = new ArrayList<>();
    private final List<Sample> samples = Collections.synchronizedList(new ArrayList<>());
    private final List<Mark> marks = new ArrayList<>();
    private double mostMb;
    private double mostDescriptors;
    private volatile boolean over;

    /** @param folder where what came of it is kept */
    public HallCampaign(int processes, long seed, double load, Path folder) {
        this.processes = processes;
        this.seed = seed;
        this.load = load;
        this.folder = folder;
    }

    /** Goes on for so many minutes, or until something is broken past mending. */
    public Result play(double minutes) throws Exception {
        Files.createDirectories(folder);
        Path file = folder.resolve("episodes.jsonl");
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file)) {
                kept.add(Kept.of(new JsonObject(line)));
            }
            System.err.println("goes on behind " + kept.size() + " troubles");
        }
        int voters = processes >= 9 ? 5 : 3;
        int budget = Math.max(1, processes / 10);
        RigPlan plan = RigPlan.of(processes, voters, Collections.nCopies(processes, 1.0), seed)
                .with(3, "", "").withLoad(load, SCALE, true, List.of()).paced(RigPlan.Pace.CROWDED)
                .released(new Supervisor(0.01, 0.02, 0, 0.01), budget);
        double until = System.nanoTime() / 1e9 + 60 * minutes;
        try (HallRig rig = new HallRig(plan)) {
            HallRig.Outcome first = rig.play(new Schedule(seed, processes, voters, plan.clocks(), List.of(), 0));
            if (!first.good()) {
                throw new IllegalStateException("the hall did not come up: " + first.stuck());
            }
            rig.beginLoad();
            Thread sampler = new Thread(() -> sample(rig), "sampler");
            sampler.setDaemon(true);
            sampler.start();
            Thread.sleep(3000);
            for (int n = kept.size(); System.nanoTime() / 1e9 < until; n++) {
                Kept k = episode(rig, n, voters);
                kept.add(k);
                Files.writeString(file, k.json().encode() + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                System.err.printf(Locale.ROOT, "%3d %-15s lost %.1f%%, back after %.1f s, no holder for %.1f s%s%n", n,
                        k.what(), 100 * k.lost(), k.back(), k.gap(), k.broken().isEmpty() ? ""
                                : " BROKEN " + k.broken());
                if (!k.broken().isEmpty()) {
                    Files.write(folder.resolve("broken-" + n + ".log"), rig.logs(2000));
                }
            }
            over = true;
            sampler.join(5000);
            System.err.println("tickets: " + rig.requests());
        }
        String table = table();
        Files.writeString(folder.resolve("page.html"), page(table));
        List<Long> bad = kept.stream().filter(k -> !k.broken().isEmpty()).map(k -> (long) k.number()).toList();
        return new Result(table, bad);
    }

    private void sample(HallRig rig) {
        int n = 0;
        while (!over) {
            try {
                samples.add(rig.sample());
                if (n++ % 5 == 0) {
                    double[] most = rig.most();
                    mostMb = Math.max(mostMb, most[0]);
                    mostDescriptors = Math.max(mostDescriptors, most[1]);
                }
                Thread.sleep((long) (SAMPLE_EVERY * 1000));
            } catch (Exception e) {
                System.err.println("no sample: " + e);
            }
        }
    }

    private Kept episode(HallRig rig, int number, int voters) throws Exception {
        Episode e = Episode.draw(seed, number, processes, voters);
        Thread.sleep((long) (BEFORE * SAMPLE_EVERY * 1000));
        double usual = share(samples.size() - BEFORE, samples.size());
        int from = samples.size();
        double began = samples.get(from - 1).at();
        HallRig.Outcome o;
        if (e.released()) {
            String version = rig.version();
            o = rig.release(e.schedule(), version, version.equals("A") ? "B" : "A", false);
        } else {
            o = rig.play(e.schedule());
        }
        double ended = samples.get(samples.size() - 1).at();
        int right = samples.size();
        // Right by the duties; from here on the payoff.
        double back = 0;
        while (back < MOST_BACK && (samples.size() < right + BACK_FOR
                || share(samples.size() - BACK_FOR, samples.size()) < (1 - WITHIN) * usual)) {
            Thread.sleep((long) (SAMPLE_EVERY * 1000));
            back = samples.get(samples.size() - 1).at() - ended;
        }
        marks.add(new Mark(began, ended, e.what().name().toLowerCase(Locale.ROOT).replace('_', ' ')));
        double lost = Math.max(0, 1 - share(from - 1, right) / Math.max(1e-9, usual));
        List<String> broken = new ArrayList<>(o.breaks());
        broken.addAll(o.stuck());
        if (back >= MOST_BACK) {
            broken.add(String.format(Locale.ROOT, "stays bad: %.3f of %.3f", share(samples.size() - BACK_FOR,
                    samples.size()), usual));
        }
        if (mostMb > MOST_MB || mostDescriptors > MOST_DESCRIPTORS) {
            broken.add(String.format(Locale.ROOT, "%.0f MB and %.0f descriptors in one process", mostMb,
                    mostDescriptors));
        }
        return new Kept(number, e.what().name().toLowerCase(Locale.ROOT).replace('_', ' '), lost,
                Math.max(0, back - BACK_FOR), o.gap(), broken);
    }

    /** Part of the payoff asked that was earned between two samples. */
    private double share(int first, int end) {
        synchronized (samples) {
            Sample a = samples.get(Math.max(0, Math.min(first, samples.size() - 1)));
            Sample b = samples.get(Math.min(end, samples.size()) - 1);
            return b.asked() <= a.asked() ? 1 : (b.earned() - a.earned()) / (b.asked() - a.asked());
        }
    }

    private String table() {
        Map<String, List<Kept>> by = new TreeMap<>();
        kept.forEach(k -> by.computeIfAbsent(k.what(), w -> new ArrayList<>()).add(k));
        StringBuilder out = new StringBuilder();
        by.forEach((what, all) -> out.append(String.format(Locale.ROOT,
                "| %s | %d | %.1f%% | %.1f%% | %.1f | %.1f | %.2f | %.2f | %d |%n", what, all.size(),
                100 * at(all, Kept::lost, 0.5), 100 * at(all, Kept::lost, 1), at(all, Kept::back, 0.5),
                at(all, Kept::back, 1), at(all, Kept::gap, 0.5), at(all, Kept::gap, 1),
                all.stream().filter(k -> !k.broken().isEmpty()).count())));
        return out.append(String.format(Locale.ROOT, "%n%d processes, %d troubles, load %.2f, seed %d; at the most"
                + " %.0f MB and %.0f descriptors in one process%n", processes, kept.size(), load, seed, mostMb,
                mostDescriptors)).toString();
    }

    private static double at(List<Kept> all, ToDoubleFunction<Kept> what, double quantile) {
        return Quantile.withDefaults().evaluate(all.stream().mapToDouble(what).toArray(), quantile);
    }

    private String page(String table) throws IOException {
        List<Sample> all = List.copyOf(samples);
        double from = all.isEmpty() ? 0 : all.get(0).at();
        Lines page = new Lines("A hall of " + processes + " processes, seed " + seed, from,
                all.isEmpty() ? 1 : all.get(all.size() - 1).at());
        Map<String, double[][]> troubles = new LinkedHashMap<>();
        List<String> kinds = marks.stream().map(Mark::what).distinct().toList();
        for (String kind : kinds) {
            List<double[]> points = new ArrayList<>();
            for (Mark m : marks) {
                if (m.what().equals(kind)) {
                    points.add(new double[] {m.from(), 1 + kinds.indexOf(kind)});
                    points.add(new double[] {m.to(), 1 + kinds.indexOf(kind)});
                    points.add(new double[] {m.to(), Double.NaN});
                }
            }
            troubles.put(kind, new double[][] {points.stream().mapToDouble(p -> p[0]).toArray(),
                    points.stream().mapToDouble(p -> p[1]).toArray()});
        }
        page.add("troubles", troubles);
        double[] x = all.stream().mapToDouble(Sample::at).toArray();
        double[] payoff = new double[all.size()];
        for (int i = 1; i < all.size(); i++) {
            double asked = all.get(i).asked() - all.get(i - 1).asked();
            payoff[i] = asked <= 0 ? Double.NaN : (all.get(i).earned() - all.get(i - 1).earned()) / asked;
        }
        page.add("part of the payoff that is honoured", Map.of("honoured", new double[][] {x, payoff}));
        page.add("level", Map.of("mean", series(all, x, Sample::level)));
        Map<String, double[][]> counts = new LinkedHashMap<>();
        counts.put("processes up", series(all, x, Sample::up));
        counts.put("suspected or gone, as one sees it", series(all, x, Sample::suspected));
        page.add("members", counts);
        page.add("duties with a holder", Map.of("held", series(all, x, Sample::held)));
        page.add("out by agreement", Map.of("out", series(all, x, Sample::out)));
        return page.page(HEAD + table);
    }

    private static double[][] series(List<Sample> all, double[] x, ToDoubleFunction<Sample> what) {
        return new double[][] {x, all.stream().mapToDouble(what).toArray()};
    }

    /** For each kind of trouble in virtual time: payoff lost, how long until it is back, and without a holder. */
    public static Result emulated(int members, int seeds) {
        StringBuilder out = new StringBuilder();
        List<Long> bad = Collections.synchronizedList(new ArrayList<>());
        for (Episode.What what : Episode.What.values()) {
            double[][] all = java.util.stream.LongStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> {
                SplittableRandom chance = new SplittableRandom(seed * 31 + what.ordinal());
                VirtualEpisode v = new VirtualEpisode(members, seed, Episode.of(what, chance, members,
                        members >= 9 ? 5 : 3, seed));
                if (!v.broken().isEmpty()) {
                    bad.add(seed);
                    System.err.println(what + ", seed " + seed + ": " + v.broken());
                }
                return new double[] {v.lost(), v.back(), v.gap(), v.broken().isEmpty() ? 0 : 1};
            }).toArray(double[][]::new);
            out.append(String.format(Locale.ROOT, "| %s | %d | %.1f%% | %.1f%% | %.1f | %.1f | %.2f | %.2f | %.0f |%n",
                    what.name().toLowerCase(Locale.ROOT).replace('_', ' '), seeds, 100 * column(all, 0, 0.5),
                    100 * column(all, 0, 1), column(all, 1, 0.5), column(all, 1, 1), column(all, 2, 0.5),
                    column(all, 2, 1), java.util.Arrays.stream(all).mapToDouble(r -> r[3]).sum()));
        }
        return new Result(out.toString(), bad);
    }

    private static double column(double[][] all, int i, double quantile) {
        return Quantile.withDefaults().evaluate(java.util.Arrays.stream(all).mapToDouble(r -> r[i]).toArray(),
                quantile);
    }
}
