package topazladder.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import topazladder.config.Terms;
import topazladder.knowledge.Fact;
import topazladder.knowledge.Learning;
import topazladder.knowledge.Origin;
import topazladder.ticket.Learned;
import topazladder.ticket.Learned.Kind;
import topazladder.ticket.Offering;

/**
 * What an instance that returns cold gains by what a warm one tells it. Both serve beside each other, with tickets of
 * the same seed and one dependency for both; only what the cold one is told differs from run to run.
 */
public final class PeerTrial {
    /** Seconds that the warm one has served when the other returns. */
    private static final double RETURNS = 40;
    private static final double MEASURED = 30;
    private static final double WINDOW = 2;
    private static final double CORES = 6;
    /** Calls at once on each instance that crowd nothing below. */
    private static final double SLOTS = 2;
    private static final int WARM = 3;
    private static final double HEED = 0.7;
    private static final double RETRY = 0.7;
    /** Part of the mean work. */
    private static final double READING = 0.05;

    /** What happens round the return. */
    public enum Condition {
        /** Seven tenths of what the cores can do. */
        ORDINARY(0.7, 1),
        /** Half as much again as the cores can do. */
        OVERLOAD(1.4, 1),
        /** What lies below takes three times as long since a while before. */
        SLOW(0.7, 4),
        /** So slow that most calls come too late. */
        CRAWLS(0.7, 14);

        private final double load;
        private final double slower;

        Condition(double load, double slower) {
            this.load = load;
            this.slower = slower;
        }
    }

    /** What the cold one is told. */
    public enum Told {
        NOTHING,
        /** All that the warm one knows. */
        ALL,
        /** The same, as though it had been seen an hour ago. */
        HOUR_OLD,
        /** From before what lies below became slow, or from a time when it was: the view lags. */
        STALE,
        /** From a machine of other cores and of a speed that nobody knows. */
        FOREIGN,
        /** The first half of the facts: the peer died. */
        CUT,
        /** From a peer that was itself in trouble: its runs and calls five times as long, a tenth finished. */
        TROUBLED
    }

    /** What one run gave: payoff asked for and earned in windows, of the returned one and of the warm one. */
    public record Outcome(double[] asked, double[] earned, double[] warmAsked, double[] warmEarned, double worstCrowd,
                          int facts) {

        /** Seconds until its windows stay within a twentieth of the warm one's. */
        public double secondsToSteady() {
            int steady = 0;
            for (int i = 0; i < asked.length; i++) {
                double own = asked[i] == 0 ? 1 : earned[i] / asked[i];
                double warm = warmAsked[i] == 0 ? 1 : warmEarned[i] / warmAsked[i];
                if (own < 0.95 * warm) {
                    steady = i + 1;
                }
            }
            return steady * WINDOW;
        }

        /** Payoff not earned of what was asked for in the first fifteen seconds, as a share of it. */
        public double lostAtFirst() {
            int windows = (int) (15 / WINDOW);
            double all = Arrays.stream(asked, 0, windows).sum();
            return 1 - Arrays.stream(earned, 0, windows).sum() / all;
        }

        /** Payoff earned by both together of what was asked of both. */
        public double together() {
            return (Arrays.stream(earned).sum() + Arrays.stream(warmEarned).sum())
                    / (Arrays.stream(asked).sum() + Arrays.stream(warmAsked).sum());
        }
    }

    private static final String SETTINGS = """
            Classes.count=3
            Classes.0.Name=stock-check
            Classes.0.Idempotency=safe
            Classes.0.TargetNs=1800000000
            Classes.0.DeadlineNs=4600000000
            Classes.1.Name=price-push
            Classes.1.Idempotency=safe
            Classes.1.TargetNs=1800000000
            Classes.1.DeadlineNs=4600000000
            Classes.1.Importance=2
            Classes.2.Name=order-place
            Classes.2.Idempotency=keyed
            Classes.2.WindowNs=13671000000
            Classes.2.TargetNs=1800000000
            Classes.2.DeadlineNs=4600000000
            Classes.2.Importance=10
            Extra.CallsByClass=true,true,true
            Extra.ClassSkipWorth=0.5,0,0
            Extra.Below=common
            Extra.CallsOut=10
            Extra.CallsOverNs=5000000000
            Extra.Cores=6
            Extra.MemoryKb=200000
            Extra.RunFactor=8
            Extra.KeyKb=10
            Extra.Say=min_rank
            Extra.OwnStats=core_use,on_cores
            PolicyLimits.RetryAfter=true
            PolicyLimits.MaxRetryAfterNs=1000000000
            Safety.AnswerSlackNs=100000000
            Safety.DrainGraceNs=1000000000
            Safety.FallMultiple=8
            Safety.ColdFrom=0.25
            Safety.WarmAfterNs=16000000000
            """;

    private PeerTrial() {
    }

    /** @param leftOut kinds that the cold one is not told */
    public static Outcome play(Condition condition, Told told, long seed, Set<Kind> leftOut) {
        Terms terms = Terms.ofLines(SETTINGS);
        Timeline time = new Timeline(1000);
        Below below = new Below(time, time, SLOTS * (WARM + 1));
        List<Traffic.Kind> kinds = kinds(terms);
        double meanRun = kinds.stream().mapToDouble(k -> k.share() * k.run()).sum();
        SplittableRandom chance = new SplittableRandom(seed);
        Runtime.Shape shape = new Runtime.Shape(CORES, 1, 0.25 + 0.15 * chance.nextDouble(),
                6 + 10 * chance.nextDouble(), 2);
        double rate = condition.load * CORES / meanRun;
        double returns = time.getAsDouble() + RETURNS;
        double end = returns + MEASURED;
        List<Branch> all = new ArrayList<>();
        for (int i = 0; i < WARM; i++) {
            all.add(new Branch("warm" + i, time, below, new Branch.Plan(terms, shape, false, kinds, rate, HEED, RETRY,
                    READING * meanRun, returns, end, WINDOW, chance.nextLong()), all));
        }
        Branch warm = all.get(0);
        List<Learned> before = new ArrayList<>();
        time.in(RETURNS - 15, () -> {
            before.addAll(warm.exchange().learned());
            below.slowDown(condition.slower);
        });
        int[] facts = {0};
        long coldSeed = chance.nextLong();
        time.in(RETURNS, () -> {
            all.add(new Branch("cold", time, below, new Branch.Plan(terms, shape, true, kinds, rate, HEED, RETRY,
                    READING * meanRun, returns, end, WINDOW, coldSeed), all));
            List<Learned> share = share(told, warm.exchange().learned(), before, time.getAsDouble(), leftOut);
            facts[0] = share.size();
            all.get(WARM).exchange().learn(share);
        });
        time.runUntil(end + 5);
        Branch c = all.get(WARM);
        return new Outcome(c.asked(), c.earned(), warm.asked(), warm.earned(), c.worstCrowd(), facts[0]);
    }

    private static List<Traffic.Kind> kinds(Terms terms) {
        List<Offering> o = terms.offerings();
        return List.of(new Traffic.Kind(o.get(0), 0.41, 0.3, 0.8, 0.12),
                new Traffic.Kind(o.get(1), 0.3, 0.3, 0, 0),
                new Traffic.Kind(o.get(2), 0.29, 0.3, 1, 0.12));
    }

    private static List<Learned> share(Told told, List<Learned> now, List<Learned> before, double at, Set<Kind> leftOut) {
        Origin here = new Origin("cold", 2, CORES, 1, 1);
        Origin there = told == Told.FOREIGN ? new Origin("warm", 1, 3 * CORES, 0, 1) : new Origin("warm", 1, CORES, 1, 1);
        List<Learned> from = switch (told) {
            case NOTHING -> List.of();
            case STALE -> before;
            case CUT -> now.subList(0, now.size() / 2);
            case TROUBLED -> now.stream().map(PeerTrial::troubled).toList();
            default -> now;
        };
        double older = told == Told.HOUR_OLD ? 3600 : 0;
        Learning learning = new Learning(here, () -> at, leftOut.isEmpty() ? Set.of() : EnumSet.copyOf(leftOut));
        learning.hear(from.stream().map(l -> new Fact(l.kind(), l.subject(), there, l.value(), l.weight(),
                at - l.age() - older, 1)).toList());
        return learning.forTheModule();
    }

    private static Learned troubled(Learned l) {
        double times = switch (l.kind()) {
            case RUN_TIME, CALL_TIME, CALL_QUICKEST, CALLS_IN_HAND -> 5;
            case OUTGOING -> 0.1;
            default -> 1;
        };
        return new Learned(l.kind(), l.subject(), l.kind() == Kind.STRAIN ? 4 : l.value() * times, l.weight(), l.age());
    }

    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        for (Condition condition : args.length > 2 ? new Condition[] {Condition.valueOf(args[2])} : Condition.values()) {
            for (Told told : Told.values()) {
                line(condition, told, Set.of(), seeds, told.name());
                if (told == Told.ALL && args.length > 1) {
                    for (Kind kind : Kind.values()) {
                        line(condition, told, EnumSet.complementOf(EnumSet.of(kind)), seeds, "only " + kind);
                    }
                }
            }
        }
    }

    private static void line(Condition condition, Told told, Set<Kind> leftOut, int seeds, String name) {
        double[] d = java.util.stream.IntStream.range(0, seeds).parallel().mapToObj(i -> {
            Outcome n = play(condition, Told.NOTHING, 100 + i, Set.of());
            Outcome o = play(condition, told, 100 + i, leftOut);
            return new double[] {o.lostAtFirst(), o.lostAtFirst() - n.lostAtFirst(), o.secondsToSteady(), o.together(), o.worstCrowd()};
        }).reduce(new double[6], (x, y) -> {
            double[] z = x.clone();
            for (int i = 0; i < 5; i++) { z[i] += y.length == 6 ? y[i] : y[i] / seeds; }
            z[5] += y.length == 6 ? y[5] : y[1] * y[1] / seeds;
            return z;
        });
        System.out.printf(Locale.ROOT, "%-9s %-22s lost %.4f diff %+.4f +- %.4f steady %.2f together %.4f%n",
                condition, name, d[0], d[1], 2 * Math.sqrt((d[5] - d[1] * d[1]) / seeds), d[2], d[3]);
    }
}
