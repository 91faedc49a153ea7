package topazladder.experiment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.apache.commons.statistics.descriptive.Quantile;
import topazladder.disruption.DisruptionBudget;
import topazladder.disruption.DisruptionTarget;
import topazladder.emulator.hall.HallWorld;
import topazladder.emulator.hall.Plant;
import topazladder.emulator.hall.Servers;
import topazladder.endpoint.EjectionDirective;
import topazladder.endpoint.EndpointSelector;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.faults.Schedule;
import topazladder.membership.Membership;

/** Servers below a hall in virtual time: what is left out by agreement, and beside other ways to do it. */
public final class BelowsExperiment {
    private static final int SERVERS = 5;
    private static final double ALONE = 0.25;
    /** The longest wait before a server is tried again, and its way back. */
    private static final double QUIET = 100;
    private static final int SHOWN = 3;
    private static final double DAY = 300;

    public static final String HEAD = "| members | servers | schedules | calls | lost | most out at once |"
            + " false outs | broken | not back |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

    private BelowsExperiment() {}

    /** What came of one play. */
    private record Played(Servers servers, HallWorld.Outcome outcome) {

        boolean bad() {
            return !outcome.breaks().isEmpty() || !servers.left().isEmpty();
        }
    }

    private static Played play(long seed, int members, Plant plant) {
        Schedule drawn = Schedule.draw(seed, members, 0);
        int budget = 1 + (int) (seed & 1);
        Servers servers = new Servers(SERVERS, budget, ALONE, Servers.draw(seed, members, SERVERS),
                (terms, chance) -> Plant.use(plant, terms, chance));
        double end = Math.max(drawn.length(), servers.end()) + QUIET;
        Schedule s = new Schedule(seed, members, drawn.voters(), drawn.clocks(), drawn.faults(), end - drawn.length());
        HallWorld.Setup setup =
                new HallWorld.Setup(members, s.voters(), 1, 2, 0.2, new Membership.Settings(0.3, 3, 3600),
                        List.of(new DisruptionBudget("below", DisruptionTarget.Kind.DEPENDENCY, "", budget, 1)))
                                .calling(servers);
        return new Played(servers, new HallWorld(s, setup, plant).play());
    }

    /** Drawn troubles of servers and of the ways to them, beside drawn faults of the hall. */
    public static Result emulated(long firstSeed, int seeds, int members) {
        List<Long> bad = Collections.synchronizedList(new ArrayList<>());
        AtomicLong calls = new AtomicLong();
        AtomicLong lost = new AtomicLong();
        AtomicLong most = new AtomicLong();
        AtomicLong falseOuts = new AtomicLong();
        AtomicLong broken = new AtomicLong();
        LongStream.range(firstSeed, firstSeed + seeds).parallel().forEach(seed -> {
            Played p = play(seed, members, Plant.NONE);
            calls.addAndGet(p.servers().calls()[0]);
            lost.addAndGet(p.servers().calls()[1]);
            most.accumulateAndGet(p.servers().mostOut(), Math::max);
            falseOuts.addAndGet(p.servers().falseOuts());
            broken.addAndGet(p.outcome().breaks().isEmpty() ? 0 : 1);
            if (p.bad()) {
                bad.add(seed);
                if (bad.size() <= SHOWN) {
                    System.err.println("seed " + seed + ": " + p.outcome().breaks() + " left out " + p.servers().left()
                            + "\nplay it again: java -jar target/topazladder.jar experiment belows --processes "
                            + members + " --seed " + seed + " --seeds 1\n  " + p.servers().troubles());
                    p.outcome().happenings().forEach(h -> System.err.println("  " + h));
                }
            }
        });
        Collections.sort(bad);
        return new Result(String.format(Locale.ROOT, "| %d | %d | %d from %d | %d | %.2f%% | %d | %d | %d | %d |%n",
                members, SERVERS, seeds, firstSeed, calls.get(), 100.0 * lost.get() / Math.max(1, calls.get()),
                most.get(), falseOuts.get(), broken.get(), bad.size() - broken.get()), bad);
    }

    /** For each planted mistake, how many seeds show it and the first. */
    public static Result plants(long firstSeed, int seeds, int members) {
        StringBuilder out = new StringBuilder("| planted mistake | seeds that show it, of " + seeds
                + " | first |\n| --- | --- | --- |\n");
        List<Long> missed = new ArrayList<>();
        for (Plant plant : Plant.ofBelows()) {
            long[] found = LongStream.range(firstSeed, firstSeed + seeds).parallel()
                    .filter(seed -> play(seed, members, plant).bad()).sorted().toArray();
            if (found.length == 0 && plant != Plant.NONE) {
                missed.add((long) plant.ordinal());
            }
            out.append("| ").append(plant.name().toLowerCase(Locale.ROOT).replace('_', ' ')).append(" | ")
                    .append(found.length).append(" | ").append(found.length > 0 ? "seed " + found[0] : "")
                    .append(" |\n");
        }
        return new Result(out.toString(), missed);
    }

    /** By agreement, each by itself, and nobody at all, on days that share their troubles. */
    public static String compare(int members, int seeds) {
        Map<String, BiFunction<EndpointSelector.Settings, RandomGenerator, EndpointSelector>> ways =
                new java.util.LinkedHashMap<>();
        ways.put("by agreement", EndpointSelector::new);
        ways.put("each by itself", Single::new);
        ways.put("none is left out", (terms, chance) -> new EndpointSelector(terms, chance) {
            @Override
            public void applyDirectives(double now, long of, List<EjectionDirective> words) {
                // goes on as it is
            }

            @Override
            protected boolean mayEject(boolean allowed, boolean alone, long leftOut) {
                return false;
            }
        });
        StringBuilder out = new StringBuilder("| day | way | calls lost, median | most | times that most left out a"
                + " server that was well, median | most | most out at once |\n"
                + "| --- | --- | --- | --- | --- | --- | --- |\n");
        for (String day : List.of("bad links", "servers that die", "a switch that loses half")) {
            ways.forEach((way, maker) -> {
                double[][] all = LongStream.range(1, 1 + seeds).parallel().mapToObj(seed -> day(day, seed, members,
                        maker)).toArray(double[][]::new);
                out.append(String.format(Locale.ROOT, "| %s | %s | %.2f%% | %.2f%% | %.0f | %.0f | %.0f |%n", day, way,
                        at(all, 0, 0.5), at(all, 0, 1), at(all, 1, 0.5), at(all, 1, 1), at(all, 2, 1)));
            });
        }
        return out.toString();
    }

    private static double at(double[][] all, int column, double quantile) {
        return Quantile.withDefaults().evaluate(java.util.Arrays.stream(all).mapToDouble(r -> r[column]).toArray(),
                quantile);
    }

    /** As most would do it: out at once for whoever finds it ill, however many that are. */
    private static final class Single extends EndpointSelector {
        Single(Settings terms, RandomGenerator chance) {
            super(terms, chance);
        }

        @Override
        public void applyDirectives(double now, long of, List<EjectionDirective> words) {
            // the hall has no say
        }

        @Override
        protected boolean mayEject(boolean allowed, boolean alone, long leftOut) {
            return true;
        }

        @Override
        protected boolean isMajorityUnhealthy(long ill, long known) {
            return false;
        }
    }

    private static double[] day(String day, long seed, int members,
            BiFunction<EndpointSelector.Settings, RandomGenerator, EndpointSelector> maker) {
        Servers servers = new Servers(SERVERS, 1, ALONE, switch (day) {
            case "bad links" -> Servers.badLinks(seed, members, SERVERS, DAY);
            case "servers that die" -> deaths(seed);
            default -> halfLost(seed, members);
        }, maker);
        Schedule s = new Schedule(seed, members, Schedule.votersOf(members), Collections.nCopies(members, 1.0),
                List.of(), 0);
        HallWorld world = new HallWorld(s, new HallWorld.Setup(members, s.voters(), 1, 2, 0.2,
                new Membership.Settings(0.3, 3, 3600),
                List.of(new DisruptionBudget("below", DisruptionTarget.Kind.DEPENDENCY, "", 1, 1)))
                        .calling(servers),
                Plant.NONE).open();
        world.time().runUntil(DAY + 20);
        return new double[] {100.0 * servers.calls()[1] / servers.calls()[0], servers.falseOuts(), servers.mostOut()};
    }

    private static List<Servers.Trouble> deaths(long seed) {
        java.util.SplittableRandom chance = new java.util.SplittableRandom(seed ^ 0xdead);
        List<Servers.Trouble> all = new ArrayList<>();
        for (double at = 20; at < DAY; at += chance.nextDouble(30, 60)) {
            all.add(new Servers.Trouble(at, chance.nextDouble(8, 25), chance.nextBoolean() ? Servers.Kind.DEAD
                    : Servers.Kind.HANGS, chance.nextInt(SERVERS), -1));
        }
        return List.copyOf(all);
    }

    /** Half of the instances do not reach three of the five servers, again and again. */
    private static List<Servers.Trouble> halfLost(long seed, int members) {
        java.util.SplittableRandom chance = new java.util.SplittableRandom(seed ^ 0x5317c);
        List<Servers.Trouble> all = new ArrayList<>();
        for (double at = 20; at < DAY; at += chance.nextDouble(25, 50)) {
            double seconds = chance.nextDouble(5, 15);
            for (int i = 0; i < members / 2; i++) {
                for (int server : Set.of(0, 1, 2)) {
                    all.add(new Servers.Trouble(at, seconds, Servers.Kind.LINK, server, i));
                }
            }
        }
        return List.copyOf(all);
    }
}
