package topazladder.experiment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.apache.commons.statistics.descriptive.Quantile;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionTarget;
import topazladder.emulator.hall.Fleet;
import topazladder.emulator.hall.Fleet.Quality;
import topazladder.emulator.hall.HallWorld;
import topazladder.emulator.hall.Plant;
import topazladder.emulator.hall.Supervisor;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.faults.Fault;
import topazladder.faults.Fault.Kind;
import topazladder.faults.Schedule;
import topazladder.membership.Membership;
import topazladder.rig.HallRig;
import topazladder.rig.RigPlan;
import topazladder.rollout.CanaryAnalysis;
import topazladder.rollout.Rollout;
import topazladder.rollout.RolloutCommand;
import topazladder.rollout.RolloutPlan;

/** Releases through a hall in virtual time, under drawn faults, and beside other ways to roll. */
public final class ReleasesExperiment {
    private static final double QUIET = 150;
    private static final double BEGIN = 7;
    private static final double LOAD = 0.6;
    private static final double DOWN = 2;
    private static final int SHOWN = 3;
    private static final double LIVE_LOAD = 0.4;
    private static final double LIVE_SCALE = 0.25;
    /** Versions that do worse, each in one thing. */
    private static final List<Quality> BAD = List.of(new Quality(0.5, 0, 0, ""), new Quality(0, 0.1, 0, ""),
            new Quality(0, 0, 20, ""), new Quality(0.6, 0, 0, "zone-1"));

    private ReleasesExperiment() {}

    /** What came of one play. */
    private record Played(HallWorld world, HallWorld.Outcome outcome, boolean bad) {

        boolean ended() {
            Rollout r = world.release();
            return r != null && r.phase() != Rollout.Phase.RUNNING;
        }
    }

    private static Played play(long seed, int members, Plant plant) {
        Schedule s = Schedule.draw(seed, members, QUIET);
        SplittableRandom chance = new SplittableRandom(seed ^ 0x7e1ea5e);
        boolean bad = chance.nextInt(3) == 0;
        double trouble = chance.nextInt(2) == 0 ? 0 : 0.08;
        Map<String, Quality> versions = bad ? Map.of("B", BAD.get(chance.nextInt(BAD.size()))) : Map.of();
        int budget = Math.max(1, members / 4);
        HallWorld.Setup setup =
                new HallWorld.Setup(members, s.voters(), 1, 2, 0.2, new Membership.Settings(0.3, 3, 3600),
                        List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", budget, 1)),
                        new HallWorld.Roll(
                                new Fleet(members, LOAD, versions, chance.split()),
                                new Supervisor(trouble, trouble, trouble / 4,
                                        trouble),
                                2, DOWN, Set.of()));
        HallWorld world = new HallWorld(s, setup, plant).open();
        RolloutPlan plan = new RolloutPlan("b", "A", "B",
                List.of(new RolloutPlan.Wave("", 1, 1, 9), new RolloutPlan.Wave("", 0, 0.5, 9)),
                CanaryAnalysis.Thresholds.DEFAULT, 40, 3, members, false);
        world.time().schedule(BEGIN, () -> world.release(plan));
        // Operators that change their minds, sometimes at the same moment.
        int words = chance.nextInt(3);
        for (int i = 0; i < words; i++) {
            double at = chance.nextDouble(BEGIN + 1, BEGIN + 60);
            int what = chance.nextInt(3);
            world.time().schedule(at, () -> word(world, what));
            world.time().schedule(at + (chance.nextBoolean() ? 0 : 15), () -> word(world, 1 + chance.nextInt(2)));
        }
        world.time().runUntil(s.length());
        return new Played(world, world.outcome(), bad);
    }

    private static void word(HallWorld world, int what) {
        world.order(replica -> {
            Rollout r = replica.state().rollouts().rollout();
            RolloutCommand.Proposer by = RolloutCommand.Proposer.operator(0);
            return r == null ? null : what == 0 ? new RolloutCommand.Halt(by, r.id(), "by an operator")
                    : what == 1 ? new RolloutCommand.Resume(by, r.id()) : new RolloutCommand.RollBack(by, r.id());
        });
    }

    public static final String EMULATED_HEAD = "| members | schedules | outs by agreement | done | halted | still"
            + " running | broken |\n| --- | --- | --- | --- | --- | --- | --- |\n";

    /** Drawn schedules of faults, supervisors' mistakes, bad versions and operators' words. */
    public static Result emulated(long firstSeed, int seeds, int members) {
        List<Long> broken = Collections.synchronizedList(new ArrayList<>());
        List<Long> unfinished = Collections.synchronizedList(new ArrayList<>());
        AtomicLong went = new AtomicLong();
        AtomicLong done = new AtomicLong();
        AtomicLong halted = new AtomicLong();
        LongStream.range(firstSeed, firstSeed + seeds).parallel().forEach(seed -> {
            Played p = play(seed, members, Plant.NONE);
            went.addAndGet(p.world().outs().went());
            Rollout r = p.world().release();
            done.addAndGet(r != null && r.isDone() ? 1 : 0);
            halted.addAndGet(r != null && r.phase() == Rollout.Phase.HALTED ? 1 : 0);
            if (r != null && r.phase() == Rollout.Phase.RUNNING) {
                unfinished.add(seed);
                if (unfinished.size() <= SHOWN) {
                    System.err.println(
                            "seed " + seed + " is not through: wave " + r.wave() + " towards " + r.targetVersion()
                                    + ", " + r.targets() + "; the world has " + p.world().versions());
                    p.outcome().happenings().forEach(h -> System.err.println("  " + h));
                }
            }
            if (!p.outcome().breaks().isEmpty()) {
                broken.add(seed);
                if (broken.size() <= SHOWN) {
                    System.err.println("seed " + seed + ": " + p.outcome().breaks() + "\nplay it again: java -jar"
                            + " target/topazladder.jar experiment releases --processes " + members + " --seed " + seed
                            + " --seeds 1 --emulated");
                    p.outcome().happenings().forEach(h -> System.err.println("  " + h));
                }
            }
        });
        Collections.sort(broken);
        return new Result(String.format(Locale.ROOT, "| %d | %d from %d | %d | %d | %d | %d | %d |%n", members, seeds,
                firstSeed, went.get(), done.get(), halted.get(), seeds - done.get() - halted.get(), broken.size()),
                broken);
    }

    /** What is done at a step. */
    private enum Cut {
        KILL_CONDUCTOR, STALL_CONDUCTOR, ISOLATE_CONDUCTOR, DELAY_CONDUCTOR, LEAVE_CONDUCTOR, KILL_LEADER, STALL_LEADER,
        MUTE_LEADER, KILL_BOTH, KILL_GOING, LOSE_GOING, ISOLATE_GOING, KILL_ALL, HALVES, HALT, BACK, HALT_AND_BACK,
        HALT_AND_CUT_OFF, HALT_WHAT_IS_LATE
    }

    public static final String CUTS_HEAD = "| members | budget | steps | cuts at each | plays | done | halted |"
            + " still running | broken |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

    /** One cut at each step of one release, each in a play of its own: where it falls is counted through, not drawn. */
    public static Result cuts(int members, int budget) {
        StringBuilder bad = new StringBuilder();
        AtomicLong done = new AtomicLong();
        AtomicLong halted = new AtomicLong();
        AtomicLong running = new AtomicLong();
        List<Long> broken = Collections.synchronizedList(new ArrayList<>());
        int steps = steps(members, budget);
        int each = Cut.values().length;
        LongStream.range(0, (long) steps * each).parallel().forEach(play -> {
            int step = (int) (play / each);
            Cut cut = Cut.values()[(int) (play % each)];
            HallWorld world = cut(members, budget, step, cut, Plant.NONE);
            Rollout r = world.release();
            done.addAndGet(r != null && r.isDone() ? 1 : 0);
            halted.addAndGet(r != null && r.phase() == Rollout.Phase.HALTED ? 1 : 0);
            boolean runs = r == null || r.phase() == Rollout.Phase.RUNNING;
            running.addAndGet(runs ? 1 : 0);
            List<String> breaks = world.outcome().breaks();
            if (!breaks.isEmpty() || runs) {
                broken.add(play);
                synchronized (bad) {
                    bad.append("step ").append(step).append(", ").append(cut).append(": ").append(breaks).append(' ')
                            .append(runs ? r == null ? "no release" : "still running: " + r.targets() : "")
                            .append('\n');
                }
            }
        });
        return new Result(String.format(Locale.ROOT, "| %d | %d | %d | %d | %d | %d | %d | %d | %d |%n%s", members,
                budget, steps, each, steps * each, done.get(), halted.get(), running.get(), broken.size(), bad),
                broken);
    }

    /** Cuts that show each planted mistake. */
    public static String plantsByCuts(int members, int budget) {
        StringBuilder out = new StringBuilder("| planted mistake | cuts that show it | first |\n| --- | --- | --- |\n");
        int steps = steps(members, budget);
        int each = Cut.values().length;
        for (Plant plant : Plant.ofReleases()) {
            long[] found = LongStream.range(0, (long) steps * each).parallel().filter(play -> !cut(members, budget,
                    (int) (play / each), Cut.values()[(int) (play % each)], plant).outcome().breaks().isEmpty())
                    .sorted().toArray();
            out.append("| ").append(plant.name().toLowerCase(Locale.ROOT).replace('_', ' ')).append(" | ")
                    .append(found.length).append(" of ").append(steps * each).append(" | ").append(found.length == 0
                            ? "" : "step " + found[0] / each + ", " + Cut.values()[(int) (found[0] % each)].name()
                                    .toLowerCase(Locale.ROOT).replace('_', ' '))
                    .append(" |\n");
        }
        return out.toString();
    }

    private static int steps(int members, int budget) {
        HallWorld world = ordinary(members, budget, Plant.NONE);
        int steps = 0;
        String before = null;
        while (world.time().getAsDouble() < LONGEST_ORDINARY
                && (world.release() == null || !world.release().isDone())) {
            world.time().runUntil(world.time().getAsDouble() + LOOK_EVERY);
            String now = world.step();
            steps += now != null && !now.equals(before) ? 1 : 0;
            before = now == null ? before : now;
        }
        return steps;
    }

    private static final double LOOK_EVERY = 0.01;
    private static final double LONGEST_ORDINARY = 300;
    private static final double AFTER_CUT = 200;

    /** A release that nothing disturbs; two zones, three voters. */
    private static HallWorld ordinary(int members, int budget, Plant plant) {
        Schedule s = new Schedule(7, members, 3, Collections.nCopies(members, 1.0), List.of(), 0);
        HallWorld world = new HallWorld(s, new HallWorld.Setup(members, 3, 1, 2, 0.2,
                new Membership.Settings(0.3, 3, 3600),
                List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", budget, 1)),
                new HallWorld.Roll(new Fleet(members, LOAD, Map.of(), new SplittableRandom(7)), Supervisor.GOOD, 2,
                        DOWN, Set.of())),
                plant).open();
        world.time().schedule(BEGIN,
                () -> world.release(new RolloutPlan("b", "A", "B", List.of(new RolloutPlan.Wave("", 1, 1, 4)),
                        CanaryAnalysis.Thresholds.DEFAULT, 60, 3, members, false)));
        return world;
    }

    private static HallWorld cut(int members, int budget, int step, Cut what, Plant plant) {
        HallWorld world = ordinary(members, budget, plant);
        int steps = 0;
        String before = null;
        while (steps <= step && world.time().getAsDouble() < LONGEST_ORDINARY) {
            world.time().runUntil(world.time().getAsDouble() + LOOK_EVERY);
            String now = world.step();
            steps += now != null && !now.equals(before) ? 1 : 0;
            before = now == null ? before : now;
        }
        double at = world.time().getAsDouble();
        int conductor = Math.max(0, world.conductor());
        int going = world.going() < 0 ? (conductor + 1) % members : world.going();
        switch (what) {
            case KILL_CONDUCTOR -> strike(world, Kind.KILL, conductor, 1.5, 0);
            case STALL_CONDUCTOR -> strike(world, Kind.STALL, conductor, 5, 0);
            case ISOLATE_CONDUCTOR -> strike(world, Kind.ISOLATE, conductor, 6, 0);
            case DELAY_CONDUCTOR -> strike(world, Kind.TRICKLE, conductor, 4, 5);
            case LEAVE_CONDUCTOR -> strike(world, Kind.LEAVE, conductor, 1.5, 0);
            case KILL_LEADER -> strike(world, Kind.KILL, Fault.LEADER, 1.5, 0);
            case STALL_LEADER -> strike(world, Kind.STALL, Fault.LEADER, 5, 0);
            case MUTE_LEADER -> strike(world, Kind.MUTE, Fault.LEADER, 5, 0);
            case KILL_BOTH -> {
                strike(world, Kind.KILL, Fault.LEADER, 1.5, 0);
                strike(world, Kind.KILL, conductor, 1.5, 0);
            }
            case KILL_GOING -> strike(world, Kind.KILL, going, 1.5, 0);
            case LOSE_GOING -> strike(world, Kind.KILL, going, 30, 0);
            case ISOLATE_GOING -> strike(world, Kind.ISOLATE, going, 8, 0);
            case KILL_ALL -> strike(world, Kind.KILL_ALL, -1, 2, 0);
            case HALVES -> world.strike(new Fault(at, Kind.HALVES, -1, 0b00101, 8, 0));
            case HALT -> halted(world, 10);
            case BACK -> word(world, 2);
            case HALT_AND_BACK -> {
                word(world, 0);
                word(world, 2);
            }
            case HALT_AND_CUT_OFF -> {
                strike(world, Kind.ISOLATE, going, 20, 0);
                halted(world, 30);
            }
            default -> {
                strike(world, Kind.TRICKLE, going, 12, 10);
                strike(world, Kind.DELAY, going, 12, 10);
                halted(world, 2);
            }
        }
        world.time().runUntil(at + AFTER_CUT);
        return world;
    }

    private static void strike(HallWorld world, Kind kind, int who, double seconds, double amount) {
        world.strike(new Fault(world.time().getAsDouble(), kind, who, -1, seconds, amount));
    }

    private static void halted(HallWorld world, double seconds) {
        word(world, 0);
        world.time().schedule(seconds, () -> word(world, 1));
    }

    public static final String REAL_HEAD = "| processes | releases | outs by agreement | most at once | budget | bad |"
            + " seconds a release, median | most |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";

    /** Releases through real processes while schedules of faults are played, in so many halls beside each other. */
    public static Result real(long firstSeed, int seeds, int processes, int beside) throws InterruptedException {
        List<Long> bad = Collections.synchronizedList(new ArrayList<>());
        List<Double> took = Collections.synchronizedList(new ArrayList<>());
        AtomicLong next = new AtomicLong(firstSeed);
        AtomicLong went = new AtomicLong();
        AtomicLong most = new AtomicLong();
        ExecutorService pool = Executors.newFixedThreadPool(beside);
        int budget = Math.max(1, processes / 4);
        for (int i = 0; i < beside; i++) {
            pool.execute(() -> {
                while (next.get() < firstSeed + seeds) {
                    long seed = next.getAndIncrement();
                    if (seed < firstSeed + seeds) {
                        hall(seed, next, firstSeed + seeds, processes, budget, bad, took, went, most);
                    }
                }
            });
        }
        pool.shutdown();
        pool.awaitTermination(1, TimeUnit.DAYS);
        Collections.sort(bad);
        double[] seconds = took.stream().mapToDouble(d -> d).toArray();
        return new Result(seconds.length == 0 ? "no release came to its end\n" : String.format(Locale.ROOT,
                "| %d | %d from %d | %d | %d | %d | %d | %.0f | %.0f |%n", processes, seconds.length, firstSeed,
                went.get(), most.get(), budget, bad.size(), Quantile.withDefaults().evaluate(seconds, 0.5),
                Quantile.withDefaults().evaluate(seconds, 1)), bad);
    }

    /** One hall, until a release fails in it or none is left. */
    private static void hall(long first, AtomicLong next, long end, int processes, int budget, List<Long> bad,
            List<Double> took, AtomicLong went, AtomicLong most) {
        Schedule shape = Schedule.draw(first, processes, 0);
        long seed = first;
        try (HallRig rig = new HallRig(RigPlan.of(processes, shape.voters(), shape.clocks(), first)
                .with(2, "", "").withLoad(LIVE_LOAD, LIVE_SCALE, true, List.of())
                .released(new Supervisor(0.04, 0.08, 0.01, 0.04), budget))) {
            HallRig.Outcome o = rig.play(new Schedule(first, processes, shape.voters(), shape.clocks(), List.of(), 0));
            rig.beginLoad();
            for (; seed < end && o.good(); seed = next.getAndIncrement()) {
                SplittableRandom chance = new SplittableRandom(seed);
                String from = rig.version();
                double begun = System.nanoTime() / 1e9;
                o = rig.release(Schedule.draw(seed, processes, 0), from, from.equals("A") ? "B" : "A",
                        chance.nextInt(4) == 0);
                took.add(System.nanoTime() / 1e9 - begun);
            }
            went.addAndGet(rig.outs()[0]);
            most.accumulateAndGet(rig.outs()[1], Math::max);
            if (!o.good()) {
                long failed = seed;
                bad.add(failed);
                System.err.println("seed " + failed + ": " + o.breaks() + " " + o.stuck() + "\nplay it again: java -jar"
                        + " target/topazladder.jar experiment releases --processes " + processes + " --seed " + failed
                        + " --seeds 1");
                o.happenings().forEach(h -> System.err.println("  " + h));
                rig.logs(200).forEach(System.err::println);
            }
        } catch (Exception e) {
            bad.add(seed);
            System.err.println("seed " + seed + " did not come to its end: " + e);
        }
    }

    /** Mistakes about outs and releases, and the seeds that show them. */
    public static String plants(long firstSeed, int seeds, int members) {
        StringBuilder out = new StringBuilder("| planted mistake | seeds that break a rule, of " + seeds
                + " | first |\n| --- | --- | --- |\n");
        Map<Plant, Long> firsts = new EnumMap<>(Plant.class);
        for (Plant plant : Plant.ofReleases()) {
            long[] found = LongStream.range(firstSeed, firstSeed + seeds).parallel().filter(seed -> {
                Played p = play(seed, members, plant);
                return !p.outcome().breaks().isEmpty() || plant == Plant.JUDGES_B_BY_ITSELF && p.bad()
                        && p.world().release() != null && p.world().release().isDone()
                        && !p.world().release().isRollback();
            }).sorted().toArray();
            if (found.length > 0) {
                firsts.put(plant, found[0]);
            }
            out.append("| ").append(plant.name().toLowerCase(Locale.ROOT).replace('_', ' ')).append(" | ")
                    .append(found.length).append(" | ").append(found.length > 0 ? "seed " + found[0]
                            : "")
                    .append(" |\n");
        }
        return out.append('\n').append(firsts.size()).append(" found\n").toString();
    }

    /** A release of many beside other ways to do the same, in calm: payoff lost, time taken, most out at once. */
    public static String compare(int members, int seeds) {
        int budget = Math.max(1, members / 10);
        double paper = Math.ceil((double) members / budget) * (DOWN + 4);
        StringBuilder out = new StringBuilder(String.format(Locale.ROOT,
                "%d members at %.0f%% load, %d may be out; on paper %.0f s%n%n", members, 80.0, budget, paper)
                + "| way | payoff lost while rolling, median | most | seconds until all run B, median | most |"
                + " most out at once |\n| --- | --- | --- | --- | --- | --- |\n");
        for (String way : List.of("agreed", "agreed, one at a time", "fixed timers", "all at will")) {
            double[][] all = LongStream.range(1, 1 + seeds).parallel().mapToObj(seed -> roll(way, seed, members,
                    way.equals("agreed") ? budget : 1, budget)).toArray(double[][]::new);
            double[] lost = column(all, 0);
            double[] took = column(all, 1);
            out.append(String.format(Locale.ROOT, "| %s | %.3f%% | %.3f%% | %.0f | %.0f | %.0f |%n", way,
                    100 * Quantile.withDefaults().evaluate(lost, 0.5), 100 * Quantile.withDefaults().evaluate(lost, 1),
                    Quantile.withDefaults().evaluate(took, 0.5), Quantile.withDefaults().evaluate(took, 1),
                    Quantile.withDefaults().evaluate(column(all, 2), 1)));
        }
        return out.toString();
    }

    private static double[] column(double[][] all, int i) {
        return java.util.Arrays.stream(all).mapToDouble(r -> r[i]).toArray();
    }

    private static double[] roll(String way, long seed, int members, int budget, int atOnce) {
        Schedule s = new Schedule(seed, members, Schedule.votersOf(members), Collections.nCopies(members, 1.0),
                List.of(),
                0);
        SplittableRandom chance = new SplittableRandom(seed);
        HallWorld.Setup setup =
                new HallWorld.Setup(members, s.voters(), 1, 4, 0.4, new Membership.Settings(0.5, 3, 3600),
                        List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", budget, 1)),
                        new HallWorld.Roll(
                                new Fleet(members, 0.8, Map.of(), chance.split()), Supervisor.GOOD, 2, DOWN, Set.of()));
        HallWorld world = new HallWorld(s, setup, Plant.NONE).open();
        world.time().runUntil(30);
        world.mostOut();
        double[] before = setup.roll().fleet().payoff();
        double begun = world.time().getAsDouble();
        if (way.startsWith("agreed")) {
            world.release(new RolloutPlan("b", "A", "B", List.of(new RolloutPlan.Wave("", 1, 1, 0)),
                    CanaryAnalysis.Thresholds.DEFAULT, 60, 2,
                    members, false));
        } else {
            double every = (DOWN + 4) / atOnce;
            for (int i = 0; i < members; i++) {
                int who = i;
                world.time().schedule(way.equals("fixed timers") ? i * every : chance.nextDouble(members * every / 4),
                        () -> world.rollOne(who, "B"));
            }
        }
        double end = begun + 3600;
        while (world.time().getAsDouble() < end && !(world.versions().stream().allMatch("B"::equals)
                && java.util.stream.IntStream.range(0, members).allMatch(world::warm))) {
            world.time().runUntil(world.time().getAsDouble() + 0.5);
        }
        double[] after = setup.roll().fleet().payoff();
        return new double[] {1 - (after[1] - before[1]) / (after[0] - before[0]),
                world.time().getAsDouble() - begun, world.mostOut()};
    }

    /** How soon a bad version is halted, how much it cost until then, and how often a good one is. */
    public static String judged(int members, int seeds) {
        StringBuilder out = new StringBuilder("| version B | releases | halted | instances on B at the halt, median |"
                + " most | payoff lost until the halt, median s of one instance | seconds, median |\n"
                + "| --- | --- | --- | --- | --- | --- | --- |\n");
        Map<String, Quality> kinds = new java.util.LinkedHashMap<>();
        kinds.put("as good", Quality.GOOD);
        kinds.put("10% slower", new Quality(0.1, 0, 0, ""));
        kinds.put("30% slower", new Quality(0.3, 0, 0, ""));
        kinds.put("1% spoilt", new Quality(0, 0.01, 0, ""));
        kinds.put("5% spoilt", new Quality(0, 0.05, 0, ""));
        kinds.put("leaks 1 MB a second", new Quality(0, 0, 1, ""));
        kinds.put("30% slower in one zone", new Quality(0.3, 0, 0, "zone-1"));
        kinds.forEach((name, q) -> {
            double[][] all = LongStream.range(1, 1 + seeds).parallel().mapToObj(seed -> bad(q, seed, members))
                    .toArray(double[][]::new);
            double[][] halted = java.util.Arrays.stream(all).filter(r -> r[0] > 0).toArray(double[][]::new);
            out.append(String.format(Locale.ROOT, "| %s | %d | %d | %s |%n", name, seeds, halted.length,
                    halted.length == 0 ? " | | | " : String.format(Locale.ROOT, "%.0f | %.0f | %.1f | %.0f",
                            Quantile.withDefaults().evaluate(column(halted, 1), 0.5),
                            Quantile.withDefaults().evaluate(column(halted, 1), 1),
                            Quantile.withDefaults().evaluate(column(halted, 2), 0.5),
                            Quantile.withDefaults().evaluate(column(halted, 3), 0.5))));
        });
        return out.toString();
    }

    private static double[] bad(Quality q, long seed, int members) {
        Schedule s = new Schedule(seed, members, Schedule.votersOf(members), Collections.nCopies(members, 1.0),
                List.of(),
                0);
        HallWorld.Setup setup = new HallWorld.Setup(members, s.voters(), 1, 4, 0.4,
                new Membership.Settings(0.5, 3, 3600),
                List.of(new DisruptionBudget("hall", DisruptionTarget.Kind.INSTANCE, "", Math.max(1, members / 10), 1)),
                new HallWorld.Roll(new Fleet(members, 0.8, Map.of("B", q), new SplittableRandom(seed)),
                        Supervisor.GOOD, 2, DOWN, Set.of()));
        HallWorld world = new HallWorld(s, setup, Plant.NONE).open();
        world.time().runUntil(30);
        double[] before = setup.roll().fleet().payoff();
        double begun = world.time().getAsDouble();
        world.release(new RolloutPlan("b", "A", "B",
                List.of(new RolloutPlan.Wave("", 1, 1, 60), new RolloutPlan.Wave("", 0, 0.2, 60),
                        new RolloutPlan.Wave("", 0, 0.5, 60)),
                CanaryAnalysis.Thresholds.DEFAULT, 60, 2, members, false));
        while (world.time().getAsDouble() < begun + 1500) {
            Rollout r = world.release();
            if (r != null && r.phase() != Rollout.Phase.RUNNING) {
                break;
            }
            world.time().runUntil(world.time().getAsDouble() + 1);
        }
        double[] after = setup.roll().fleet().payoff();
        Rollout r = world.release();
        double perInstance = (after[0] - before[0]) / (world.time().getAsDouble() - begun) / members;
        return new double[] {r != null && r.phase() == Rollout.Phase.HALTED ? 1 : 0,
                Collections.frequency(world.versions(), "B"),
                (after[0] - before[0] - after[1] + before[1]) / perInstance,
                world.time().getAsDouble() - begun};
    }
}
