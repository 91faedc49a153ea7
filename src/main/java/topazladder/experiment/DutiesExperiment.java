package topazladder.experiment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.apache.commons.statistics.descriptive.Quantile;
import topazladder.emulator.hall.HallWorld;
import topazladder.emulator.hall.Plant;
import topazladder.faults.Fault;
import topazladder.faults.Schedule;
import topazladder.membership.Membership;
import topazladder.rig.HallRig;
import topazladder.rig.LeaderChangePlay;
import topazladder.rig.RigPlan;

/** Duties under drawn schedules of faults: in virtual time, and with real processes on loopback. */
public final class DutiesExperiment {
    private static final double QUIET = 25;
    private static final int SHOWN = 3;
    private static final int LOG_LINES = 60;

    /** @param bad seeds that broke something or left something undone */
    public record Result(String table, List<Long> bad) {
    }

    private DutiesExperiment() {}

    /** The schedule of a seed; storms are over the voters alone. */
    public static Schedule drawn(long seed, int processes, boolean storm) {
        return storm ? Schedule.storm(seed, QUIET) : Schedule.draw(seed, processes, QUIET);
    }

    private static HallWorld.Outcome emulated(long seed, int processes, boolean storm, Plant plant) {
        Schedule s = drawn(seed, processes, storm);
        return new HallWorld(s, storm ? HallWorld.Setup.stormy(s) : HallWorld.Setup.of(s), plant).play();
    }

    /** One schedule from a file, in virtual time. */
    public static Result emulated(Schedule s) {
        HallWorld.Outcome o = new HallWorld(s, HallWorld.Setup.of(s), Plant.NONE).play();
        o.happenings().forEach(h -> System.err.println("  " + h));
        return new Result(String.format(Locale.ROOT,
                "| %d | %d from a file | %d | %d | %d | %d | %.1f | %.1f | %.1f |%n",
                s.processes(), 1, o.handed(), o.effects(), o.late(), o.good() ? 0 : 1, o.longestGap(), o.longestGap(),
                o.longestGap()) + (o.good() ? "" : o.breaks() + " " + o.stuck() + "\n"),
                o.good() ? List.of() : List.of(s.seed()));
    }

    /** One schedule from a file, with real processes. */
    public static Result real(Schedule s) throws Exception {
        try (HallRig rig = new HallRig(RigPlan.of(s.processes(), s.voters(), s.clocks(), s.seed()))) {
            HallRig.Outcome o = rig.play(new Schedule(s.seed(), s.processes(), s.voters(), s.clocks(), List.of(), 0));
            o = o.good() ? rig.play(s) : o;
            if (!o.good()) {
                o.happenings().forEach(h -> System.err.println("  " + h));
                rig.logs(LOG_LINES).forEach(System.err::println);
            }
            return new Result(String.format(Locale.ROOT,
                    "| %d | %d from a file | %d | %d | %d | %.2f | %.2f | %.2f | %d | %.3f | %.2f | %.2f |%n",
                    s.processes(), 1, o.tokens(), o.effects(), o.good() ? 0 : 1, o.gap(), o.gap(), o.gap(),
                    o.late() > 0 ? 1 : 0, o.overlap(), o.quiet(), o.quiet())
                    + (o.good() ? ""
                            : o.breaks() + " " + o.stuck() + "\n"),
                    o.good() ? List.of() : List.of(s.seed()));
        }
    }

    /** Drawn schedules in virtual time; the first that fail are told with their happenings. */
    public static Result emulated(long firstSeed, int seeds, int processes, boolean storm) {
        List<Long> bad = Collections.synchronizedList(new ArrayList<>());
        AtomicLong handed = new AtomicLong();
        AtomicLong effects = new AtomicLong();
        AtomicLong late = new AtomicLong();
        double[] gaps = LongStream.range(firstSeed, firstSeed + seeds).parallel().mapToDouble(seed -> {
            HallWorld.Outcome o = emulated(seed, processes, storm, Plant.NONE);
            handed.addAndGet(o.handed());
            effects.addAndGet(o.effects());
            late.addAndGet(o.late());
            if (!o.good()) {
                bad.add(seed);
                if (bad.size() <= SHOWN) {
                    tell(seed, processes, storm ? " --emulated --storms" : " --emulated", o.breaks(), o.stuck(),
                            o.happenings());
                }
            }
            return o.longestGap();
        }).toArray();
        double[] q = Quantile.withDefaults().evaluate(gaps, 0.5, 0.95, 1);
        Collections.sort(bad);
        return new Result(String.format(Locale.ROOT, "| %d | %d from %d | %d | %d | %d | %d | %.1f | %.1f | %.1f |%n",
                processes, seeds, firstSeed, handed.get(), effects.get(), late.get(), bad.size(), q[0], q[1], q[2]),
                bad);
    }

    public static final String EMULATED_HEAD = "| members | schedules | grants | effects | refused as late | bad |"
            + " longest gap, median s | 95% | most |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

    /** By a break; or by the library, which finds two leaders in one term, or entries that can't be, by itself. */
    private static boolean shows(long seed, int processes, boolean storm, Plant plant) {
        try {
            return !emulated(seed, processes, storm, plant).breaks().isEmpty();
        } catch (IllegalStateException | IllegalArgumentException | AssertionError e) {
            if (plant == Plant.NONE) {
                throw e;
            }
            return true;
        }
    }

    /** For each planted mistake, how many seeds show it and the first. */
    public static Result plants(long firstSeed, int seeds, int processes, boolean storm) {
        StringBuilder out = new StringBuilder("| planted mistake | seeds that break safety, of " + seeds
                + " | first |\n| --- | --- | --- |\n");
        Map<Plant, Long> firsts = new EnumMap<>(Plant.class);
        List<Long> missed = new ArrayList<>();
        for (Plant plant : Plant.ofDuties()) {
            long[] found = LongStream.range(firstSeed, firstSeed + seeds).parallel()
                    .filter(seed -> shows(seed, processes, storm, plant)).sorted().toArray();
            if (found.length > 0) {
                firsts.put(plant, found[0] - firstSeed + 1);
            } else if (plant != Plant.NONE) {
                missed.add((long) plant.ordinal());
            }
            out.append("| ").append(plant.name().toLowerCase(Locale.ROOT).replace('_', ' ')).append(" | ")
                    .append(found.length).append(" | ").append(found.length > 0 ? "seed " + found[0] : "")
                    .append(" |\n");
        }
        return new Result(out.append('\n').append(firsts.size()).append(" found within ").append(seeds)
                .append(" seeds\n").toString(), missed);
    }

    /** What members say in halls of several sizes, in an ordinary minute. */
    public static String sizes(int... members) {
        StringBuilder out = new StringBuilder("| members | duties | messages a member and second | of the busiest |"
                + " seconds to the first grant of all |\n| --- | --- | --- | --- | --- |\n");
        for (int n : members) {
            int voters = Math.min(5, n | 1);
            List<Double> clocks = Collections.nCopies(n, 1.0);
            Schedule s = new Schedule(1, n, voters, clocks, List.of(), 54);
            HallWorld world = new HallWorld(s, new HallWorld.Setup(n, voters, Math.min(300, 3 * n), 10, 0.5,
                    Membership.Settings.DEFAULTS), Plant.NONE).open();
            world.time().runUntil(30);
            HallWorld.Outcome before = world.outcome();
            world.time().runUntil(90);
            HallWorld.Outcome after = world.outcome();
            out.append(String.format(Locale.ROOT, "| %d | %d | %.2f | %.1f | %.1f |%n", n, Math.min(300, 3 * n),
                    (after.said() - before.said()) / 60.0 / n, (after.saidByBusiest() - before.saidByBusiest()) / 60.0,
                    after.firstOfAll()));
        }
        return out.toString();
    }

    /** Seconds without a holder, by what became of it: one fault a play, aimed at the holder. */
    public static String handOvers(int seeds) {
        StringBuilder out = new StringBuilder("| what happens to the holder | longest gap, median s | 95% | most |\n"
                + "| --- | --- | --- | --- |\n");
        for (Fault.Kind kind : List.of(Fault.Kind.LEAVE, Fault.Kind.KILL, Fault.Kind.STALL, Fault.Kind.ISOLATE,
                Fault.Kind.MUTE, Fault.Kind.MINORITY)) {
            double[] gaps = LongStream.range(0, seeds).parallel().mapToDouble(seed -> {
                Schedule s = new Schedule(seed, 5, 3, Collections.nCopies(5, 1.0),
                        List.of(new Fault(10, kind, Fault.HOLDER, -1, 12, 0)), 12);
                HallWorld.Setup setup = new HallWorld.Setup(5, 3, 1, 2, 0.2,
                        new Membership.Settings(0.5, 3, 3600));
                return new HallWorld(s, setup, Plant.NONE).play().longestGap();
            }).toArray();
            double[] q = Quantile.withDefaults().evaluate(gaps, 0.5, 0.95, 1);
            out.append(String.format(Locale.ROOT, "| %s | %.2f | %.2f | %.2f |%n",
                    kind.name().toLowerCase(Locale.ROOT), q[0], q[1], q[2]));
        }
        return out.toString();
    }

    public static final String REAL_HEAD = "| processes | schedules | grants | effects | bad | longest gap, median s |"
            + " 95% | most | unchecked: schedules with an overlap | longest overlap s | until right, median s | most |"
            + "\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

    /**
     * Drawn schedules with real processes: so many halls beside each other, each playing its part one after another.
     */
    public static Result real(long firstSeed, int seeds, int processes, int beside, long clocksOf)
            throws InterruptedException {
        List<Long> bad = Collections.synchronizedList(new ArrayList<>());
        List<HallRig.Outcome> all = Collections.synchronizedList(new ArrayList<>());
        AtomicLong next = new AtomicLong(firstSeed);
        ExecutorService pool = Executors.newFixedThreadPool(beside);
        for (int i = 0; i < beside; i++) {
            pool.execute(() -> {
                while (next.get() < firstSeed + seeds) {
                    hall(next, firstSeed + seeds, processes, clocksOf, bad, all);
                }
            });
        }
        pool.shutdown();
        pool.awaitTermination(1, TimeUnit.DAYS);
        Collections.sort(bad);
        if (all.isEmpty()) {
            return new Result("no schedule came to its end\n", bad);
        }
        double[] gaps = Quantile.withDefaults().evaluate(all.stream().mapToDouble(HallRig.Outcome::gap).toArray(), 0.5,
                0.95, 1);
        double[] quiet = Quantile.withDefaults().evaluate(all.stream().mapToDouble(HallRig.Outcome::quiet).toArray(),
                0.5, 1);
        return new Result(String.format(Locale.ROOT,
                "| %d | %d from %d | %d | %d | %d | %.2f | %.2f | %.2f | %d | %.3f | %.2f | %.2f |%n", processes,
                all.size(), firstSeed, all.stream().mapToLong(HallRig.Outcome::tokens).sum(),
                all.stream().mapToLong(HallRig.Outcome::effects).sum(), bad.size(), gaps[0], gaps[1], gaps[2],
                all.stream().filter(o -> o.late() > 0).count(),
                all.stream().mapToDouble(HallRig.Outcome::overlap).max().orElse(0), quiet[0], quiet[1]), bad);
    }

    /** One hall, until a schedule fails in it or there are none left. */
    private static void hall(AtomicLong next, long end, int processes, long clocksOf, List<Long> bad,
            List<HallRig.Outcome> all) {
        // A hall's clocks are those of its first schedule; a replay of a later one has to be told which that was.
        long first = clocksOf > 0 ? clocksOf : next.get();
        Schedule shape = Schedule.draw(first, processes, QUIET);
        try (HallRig rig = new HallRig(RigPlan.of(processes, shape.voters(), shape.clocks(), first))) {
            HallRig.Outcome begin = rig.play(new Schedule(first, processes, shape.voters(), shape.clocks(), List.of(),
                    0));
            if (!begin.good()) {
                bad.add(first);
                tell(first, processes, "", begin.breaks(), begin.stuck(), rig.logs(LOG_LINES));
                next.incrementAndGet();
                return;
            }
            for (long seed = next.getAndIncrement(); seed < end; seed = next.getAndIncrement()) {
                HallRig.Outcome o = rig.play(Schedule.draw(seed, processes, QUIET));
                all.add(o);
                if (!o.good()) {
                    bad.add(seed);
                    tell(seed, processes, " --clocks-of " + first, o.breaks(), o.stuck(), o.happenings());
                    rig.logs(LOG_LINES).forEach(System.err::println);
                    return;
                }
            }
        } catch (Exception e) {
            bad.add(first);
            System.err.println("seed " + first + " did not come to its end: " + e);
            next.incrementAndGet();
        }
    }

    private static RigPlan plan(int processes, long seed) {
        return RigPlan.of(processes, Schedule.votersOf(processes), Collections.nCopies(processes, 1.0), seed);
    }

    private static void settle(HallRig rig, int processes) throws Exception {
        HallRig.Outcome o = rig.play(new Schedule(1, processes, Schedule.votersOf(processes),
                Collections.nCopies(processes, 1.0), List.of(), 0));
        if (!o.good()) {
            throw new IllegalStateException("the hall did not come up: " + o.stuck());
        }
    }

    /** All duties are held, at whatever pace they touch. */
    private static void settled(HallRig rig) throws Exception {
        double from = System.nanoTime() / 1e9;
        while (rig.grants() < 3) {
            if (System.nanoTime() / 1e9 - from > 120) {
                throw new IllegalStateException("the hall did not come up");
            }
            Thread.sleep(100);
        }
    }

    /** Payoff served with and without a hall, in pairs that share their callers' seeds and run beside each other. */
    public static String payoff(long firstSeed, int pairs, int processes, double seconds, RigPlan.Pace pace)
            throws Exception {
        StringBuilder out = new StringBuilder("| load | pairs | part of the payoff lost, without | with | difference |"
                + " quartiles | luck |\n| --- | --- | --- | --- | --- | --- | --- |\n");
        for (double load : new double[] {0.7, 1.2}) {
            double[] with = new double[pairs];
            double[] without = new double[pairs];
            for (int i = 0; i < pairs; i++) {
                // Straight links: relays run on the loop that plays the callers, and would cost the one side alone.
                RigPlan base = plan(processes, firstSeed + i).straight(pace);
                try (HallRig on = new HallRig(base.withLoad(load, 0.25, true, List.of()));
                        HallRig off = new HallRig(base.withLoad(load, 0.25, false, List.of()))) {
                    settled(on);
                    on.beginLoad();
                    off.beginLoad();
                    Thread.sleep(3000);
                    FutureTask<double[]> other = new FutureTask<>(() -> off.earned(seconds));
                    new Thread(other).start();
                    double[] mine = on.earned(seconds);
                    with[i] = 1 - mine[1] / mine[0];
                    without[i] = 1 - other.get()[1] / other.get()[0];
                }
            }
            out.append("| ").append(load).append(" | ").append(pairs).append(" | ")
                    .append(new Pairs(with, without).row()).append(" |\n");
        }
        return out.toString();
    }

    /** Many members on sockets that ask a leader, and a new one once it has died. */
    public static String crowds(int... members) throws Exception {
        StringBuilder out = new StringBuilder(
                "| members that ask | seconds until all are answered, at the start |"
                        + " after the leader was killed |\n| --- | --- | --- |\n");
        for (int n : members) {
            try (HallRig rig = new HallRig(plan(3, 1))) {
                settle(rig, 3);
                double[] took = LeaderChangePlay.play(rig, n);
                out.append(String.format(Locale.ROOT, "| %d | %.1f | %.1f |%n", n, took[0], took[1]));
            }
        }
        return out.toString();
    }

    /** What a member costs beside one without a hall: processor time and memory, with nothing else to do. */
    public static String cost(int processes, double seconds, RigPlan.Pace pace) throws Exception {
        StringBuilder out = new StringBuilder("| | processor ms a second, mean | most | resident MB, mean |\n"
                + "| --- | --- | --- | --- |\n");
        for (boolean hall : new boolean[] {false, true}) {
            RigPlan p = plan(processes, 1).withLoad(0, 0.25, hall, List.of()).straight(pace);
            try (HallRig rig = new HallRig(p)) {
                if (hall) {
                    settled(rig);
                }
                Thread.sleep(8000);
                double[][] before = rig.usage();
                Thread.sleep((long) (seconds * 1000));
                double[][] after = rig.usage();
                double sum = 0;
                double most = 0;
                double memory = 0;
                for (int i = 0; i < processes; i++) {
                    double used = (after[i][0] - before[i][0]) / seconds * 1000;
                    sum += used;
                    most = Math.max(most, used);
                    memory += after[i][1];
                }
                out.append(String.format(Locale.ROOT, "| %s | %.1f | %.1f | %.1f |%n", hall ? "with a hall" : "without",
                        sum / processes, most, memory / processes));
            }
        }
        return out.toString();
    }

    /** All processes on one core under load, nothing broken: whatever changes hands does so for nothing. */
    public static String starved(int processes, double load, double seconds, int core) throws Exception {
        RigPlan p = plan(processes, 1).withLoad(load, 0.08, true, List.of("taskset", "-c", String.valueOf(core)));
        try (HallRig rig = new HallRig(p)) {
            settle(rig, processes);
            rig.beginLoad();
            Thread.sleep(5000);
            long grants = rig.grants();
            long suspected = rig.lines("is SUSPECTED");
            long gone = rig.lines("is GONE");
            long led = rig.lines("leader elected");
            double[][] before = rig.usage();
            double[] paid = rig.earned(seconds);
            double[][] after = rig.usage();
            double used = 0;
            for (int i = 0; i < processes; i++) {
                used += (after[i][0] - before[i][0]) / seconds / processes;
            }
            return "| processes on one core | load | seconds | of a core each | payoff honoured | false hand-overs |"
                    + " suspicions told | taken for gone | elections |\n"
                    + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
                    + String.format(Locale.ROOT, "| %d | %.1f | %.0f | %.2f | %.2f | %d | %d | %d | %d |%n", processes,
                            load, seconds, used, paid[1] / paid[0], rig.grants() - grants,
                            rig.lines("is SUSPECTED") - suspected,
                            rig.lines("is GONE") - gone, rig.lines("leader elected") - led);
        }
    }

    private static void tell(long seed, int processes, String how, List<String> breaks, List<String> stuck,
            List<String> happenings) {
        StringBuilder out = new StringBuilder("seed " + seed + ": " + breaks + " " + stuck + "\nplay it again: java"
                + " -jar target/topazladder.jar experiment duties --processes " + processes + " --seed " + seed
                + " --seeds 1" + how + "\n");
        happenings.forEach(h -> out.append("  ").append(h).append('\n'));
        System.err.print(out);
    }
}
