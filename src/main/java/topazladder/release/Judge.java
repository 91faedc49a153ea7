package topazladder.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Whether B does worse than A, from looks at both in the same moments. It may be asked after each look: its bounds hold
 * at all times at once (a confidence sequence by the mixture of normals, as Robbins gave it and Waudby-Smith and others
 * made it for any spread), so that looking often finds no more that is not there. That instances differ by themselves
 * is counted apart, by how far those of A lie from each other over time.
 */
public final class Judge {
    private static final int LEAST_LOOKS = 5;
    /** Looks for which the bounds are tightest. */
    private static final double TUNED_FOR = 40;
    /** Fewer of A tell nothing of how instances differ. */
    private static final int LEAST_OF_A = 2;
    private static final String ALL = "";

    /**
     * What B may be worse in.
     *
     * @param payoff part of what is asked that it may honour less
     * @param failed part of what is asked that it may break off more
     * @param memory times A's that it may hold
     * @param error chance that a B which is as good is called worse, over the whole release
     */
    public record Terms(double payoff, double failed, double memory, double error) {
        public static final Terms USUAL = new Terms(0.02, 0.01, 1.5, 0.01);
    }

    /** One instance at one look. */
    public record Look(String name, String zone, boolean moved, double share, double failed, double megabytes) {
    }

    /** What came of looks so far. */
    public enum Verdict { UNKNOWN, WELL, WORSE }

    /** One difference over time, B less A; a look in which either was not there adds nothing. */
    private static final class Series {
        private int n;
        private double mean;
        private double squares;

        void add(double d) {
            n++;
            double before = d - mean;
            mean += before / n;
            squares += before * (d - mean);
        }

        double deviation() {
            return n < 2 ? 0 : Math.sqrt(squares / (n - 1));
        }

        /** Half the width of what the true mean is in at all times, but for that chance. */
        double radius(double error) {
            if (n < LEAST_LOOKS) {
                return Double.POSITIVE_INFINITY;
            }
            double l = -2 * Math.log(error);
            double tune = (l + Math.log(l + 1)) / TUNED_FOR;
            double m = n * tune + 1;
            return deviation() * Math.sqrt(2 * m / (n * (double) n * tune) * Math.log(Math.sqrt(m) / error));
        }
    }

    private final Terms terms;
    private final Map<String, Series> payoff = new TreeMap<>(); // by zone, and of all
    private final Series failed = new Series();
    private final Series memory = new Series();
    private final Map<String, Series> ofA = new HashMap<>(); // by instance
    private String why = "";

    public Judge(Terms terms) {
        this.terms = terms;
    }

    /** All that serve at one moment. */
    public void look(List<Look> now) {
        List<Look> a = now.stream().filter(l -> !l.moved()).toList();
        List<Look> b = now.stream().filter(Look::moved).toList();
        if (a.isEmpty() || b.isEmpty()) {
            return;
        }
        a.forEach(l -> ofA.computeIfAbsent(l.name(), n -> new Series()).add(l.share()));
        payoff.computeIfAbsent(ALL, z -> new Series()).add(mean(b, Look::share) - mean(a, Look::share));
        failed.add(mean(b, Look::failed) - mean(a, Look::failed));
        memory.add(mean(b, Look::megabytes) / Math.max(1, mean(a, Look::megabytes)) - 1);
        List<String> zones = b.stream().map(Look::zone).filter(z -> !z.isEmpty()).distinct().toList();
        for (String z : zones) {
            List<Look> of = a.stream().filter(l -> l.zone().equals(z)).toList();
            payoff.computeIfAbsent(z, n -> new Series()).add(mean(b.stream().filter(l -> l.zone().equals(z)).toList(),
                    Look::share) - mean(of.isEmpty() ? a : of, Look::share));
        }
        moved = b.size();
    }

    private int moved;

    private static double mean(List<Look> of, ToDoubleFunction<Look> what) {
        return of.stream().mapToDouble(what).average().orElse(0);
    }

    /** How far two groups of equally good instances lie apart by luck of which instance is in which. */
    private double apart() {
        List<Double> means = new ArrayList<>();
        ofA.values().stream().filter(s -> s.n >= LEAST_LOOKS).forEach(s -> means.add(s.mean));
        if (means.size() < LEAST_OF_A) {
            return 0;
        }
        double mean = means.stream().mapToDouble(x -> x).average().orElse(0);
        double variance = means.stream().mapToDouble(x -> (x - mean) * (x - mean)).sum() / (means.size() - 1);
        // Three of them, as the spread of few is itself not well known.
        return 3 * Math.sqrt(variance * (1.0 / Math.max(1, moved) + 1.0 / means.size()));
    }

    /** What is known by now. */
    public Verdict verdict() {
        double error = terms.error() / (payoff.size() + 2);
        double apart = apart();
        for (Map.Entry<String, Series> e : payoff.entrySet()) {
            Series s = e.getValue();
            if (s.mean + s.radius(error) + apart < -terms.payoff()) {
                why = String.format(Locale.ROOT, "it honours %.1f%% less of what is asked%s, give or take %.1f%%",
                        -100 * s.mean, e.getKey().isEmpty() ? "" : " in " + e.getKey(),
                        100 * (s.radius(error) + apart));
                return Verdict.WORSE;
            }
        }
        if (failed.mean - failed.radius(error) > terms.failed()) {
            why = String.format(Locale.ROOT, "it breaks off %.1f%% more", 100 * failed.mean);
            return Verdict.WORSE;
        }
        if (memory.mean - memory.radius(error) > terms.memory() - 1) {
            why = String.format(Locale.ROOT, "it holds %.1f times the memory", 1 + memory.mean);
            return Verdict.WORSE;
        }
        Series all = payoff.get(ALL);
        return all == null || all.n < LEAST_LOOKS ? Verdict.UNKNOWN
                : all.mean > -terms.payoff() && failed.mean < terms.failed() ? Verdict.WELL : Verdict.UNKNOWN;
    }

    public String why() {
        return why;
    }

    public int looks() {
        return payoff.containsKey(ALL) ? payoff.get(ALL).n : 0;
    }

    /** For operators: the difference of payoff and its bounds. */
    @Override
    public String toString() {
        Series all = payoff.get(ALL);
        return all == null ? "nothing compared yet" : String.format(Locale.ROOT,
                "payoff %+.2f%% ± %.2f%% after %d looks", 100 * all.mean, 100 * (Math.min(1, all.radius(terms.error()))
                        + apart()),
                all.n);
    }
}
