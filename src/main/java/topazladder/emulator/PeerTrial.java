package topazladder.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import topazladder.config.SettingsReader;
import topazladder.request.LearnedEstimate;
import topazladder.request.LearnedEstimate.Kind;
import topazladder.request.RequestClass;
import topazladder.warmstart.EstimateExchange;
import topazladder.warmstart.Origin;
import topazladder.warmstart.SharedEstimate;

/**
 * What an instance that returns cold gains by what a warm one tells it. A few serve beside each other on one
 * dependency, and callers that one defers try another once; only what the cold one is told differs from run to run.
 */
public final class PeerTrial {
    /** Windows, also of the warm one beside it, by which steadiness is told. */
    public static final double WINDOW = 2;
    /** Seconds for which what was asked for and not earned is counted. */
    public static final double FIRST = 15;
    /** Seconds that the warm ones have served when the other returns. */
    private static final double RETURNS = 40;
    private static final double MEASURED = 30;
    private static final double CORES = 6;
    /** Calls at once on each instance that crowd nothing below. */
    private static final double SLOTS = 2;
    private static final int WARM = 3;
    public static final double HEED = 0.7;
    public static final double RETRY = 0.7;
    /** Part of the mean work. */
    public static final double READING = 0.05;

    /** What happens round the return. */
    public enum Condition {
        /** Seven tenths of what the cores can do. */
        ORDINARY(0.7, 1),
        /** Two fifths more than the cores can do. */
        OVERLOAD(1.4, 1),
        /** What lies below takes four times as long since a while before. */
        SLOW(0.7, 4),
        /** So slow that most calls come too late. */
        CRAWLS(0.7, 14);

        private final double load;
        private final double slower;

        Condition(double load, double slower) {
            this.load = load;
            this.slower = slower;
        }

        public double load() {
            return load;
        }

        public double slower() {
            return slower;
        }

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** What the cold one is told. */
    public enum Told {
        NOTHING,
        /** All that the warm one knows. */
        ALL,
        /** The same, as though it had been seen an hour ago. */
        HOUR_OLD,
        /** From a while before what lies below became slow: the view lags. */
        STALE,
        /** From a machine of other cores and of a speed that nobody knows. */
        FOREIGN,
        /** The first half of the facts: the peer died. */
        CUT,
        /** From a peer that was itself in trouble: its runs five times as long, a tenth finished. */
        TROUBLED;

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** What one run gave: payoff asked for and earned in windows, of the returned one and of the warm one. */
    public record Outcome(double window, double[] asked, double[] earned, double[] warmAsked, double[] warmEarned) {

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
            return steady * window;
        }

        /** Payoff not earned of what was asked for in the first so many windows, as a share of it. */
        public double lostAtFirst(int windows) {
            double all = Arrays.stream(asked, 0, windows).sum();
            return 1 - Arrays.stream(earned, 0, windows).sum() / all;
        }
    }

    /** Times as the operators' brief has them; the rig shortens all of them alike. */
    static final String SETTINGS = """
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
        Extra.ClassSkipWorth=0.5,0,0
        Extra.Below=common
        Extra.CallsOut=10
        Extra.CallsOverNs=5000000000
        Extra.Cores=6
        Safety.DrainGraceNs=1000000000
        Safety.ColdFrom=0.25
        Safety.WarmAfterNs=16000000000
        """ + Brief.MACHINE;

    private PeerTrial() {}

    /** The request classes, their work in core-seconds and calls in slot-seconds. */
    public static List<Traffic.Kind> kinds(SettingsReader terms, double scale) {
        List<RequestClass> o = terms.requestClasses();
        return List.of(new Traffic.Kind(o.get(0), 0.41, 0.3 * scale, 0.8, 0.12 * scale),
                new Traffic.Kind(o.get(1), 0.3, 0.3 * scale, 0, 0),
                new Traffic.Kind(o.get(2), 0.29, 0.3 * scale, 1, 0.12 * scale));
    }

    /** @param leftOut kinds that the cold one is not told */
    public static Outcome play(Condition condition, Told told, long seed, Set<Kind> leftOut) {
        SettingsReader terms = SettingsReader.ofLines(SETTINGS);
        Timeline time = new Timeline(1000);
        Below below = new Below(time, time, SLOTS * (WARM + 1));
        List<Traffic.Kind> kinds = kinds(terms, 1);
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
        List<LearnedEstimate> before = new ArrayList<>();
        time.schedule(RETURNS - 15, () -> {
            before.addAll(warm.exchange().learnedEstimates());
            below.slowDown(condition.slower);
        });
        long coldSeed = chance.nextLong();
        time.schedule(RETURNS, () -> {
            all.add(new Branch("cold", time, below, new Branch.Plan(terms, shape, true, kinds, rate, HEED, RETRY,
                    READING * meanRun, returns, end, WINDOW, coldSeed), all));
            all.get(WARM).exchange().applyEstimates(
                    share(told, warm.exchange().learnedEstimates(), before, time.getAsDouble(), leftOut));
        });
        time.runUntil(end + 5);
        Branch c = all.get(WARM);
        return new Outcome(WINDOW, c.asked(), c.earned(), warm.asked(), warm.earned());
    }

    private static List<LearnedEstimate> share(Told told, List<LearnedEstimate> now, List<LearnedEstimate> before,
            double at,
            Set<Kind> leftOut) {
        Origin here = new Origin("cold", 2, CORES, 1, 1);
        Origin there = told == Told.FOREIGN ? new Origin("warm", 1, 3 * CORES, 0, 1) : new Origin("warm", 1, CORES,
                1, 1);
        List<LearnedEstimate> from = switch (told) {
            case NOTHING -> List.of();
            case STALE -> before;
            case CUT -> now.subList(0, now.size() / 2);
            case TROUBLED -> now.stream().map(PeerTrial::troubled).toList();
            default -> now;
        };
        double older = told == Told.HOUR_OLD ? 3600 : 0;
        EstimateExchange learning = new EstimateExchange(here, () -> at, leftOut);
        learning.receive(from.stream().map(l -> new SharedEstimate(l.kind(), l.subject(), there, l.value(), l.weight(),
                at - l.ageSeconds() - older, 1)).toList());
        return learning.newEstimates();
    }

    private static LearnedEstimate troubled(LearnedEstimate l) {
        double times = switch (l.kind()) {
            case RUN_TIME, CALLS_IN_FLIGHT -> 5;
            case COMPLETION_RATE -> 0.1;
        };
        return new LearnedEstimate(l.kind(), l.subject(), l.value() * times, l.weight(), l.ageSeconds());
    }
}
