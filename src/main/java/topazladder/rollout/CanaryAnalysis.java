package topazladder.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Canary analysis: whether version B does worse than version A, from samples of instances of both, taken at the same
 * moments. The verdict may be read after each sample, since the confidence bounds hold at all times at once: they are a
 * confidence sequence from a mixture of normals (Robbins; for unknown variance Waudby-Smith and others), so that
 * frequent looks find no more false differences. The natural spread between instances is accounted for separately, by
 * how far the means of the instances on A lie apart.
 */
public final class CanaryAnalysis {
    /** Samples that a series needs before it is judged. Only moments at which both versions were sampled count. */
    private static final int MIN_SAMPLES = 5;
    /** Number of samples at which the bounds are tightest. */
    private static final double TIGHTEST_AT_SAMPLES = 40;
    /** Instances on A that are needed to estimate the spread between instances. */
    private static final int MIN_INSTANCES_ON_A = 2;
    /** Standard errors of the spread between instances that count as chance: few instances estimate it poorly. */
    private static final double SPREAD_STANDARD_ERRORS = 3;
    private static final String ALL_ZONES = "";

    /**
     * By how much B may be worse.
     *
     * @param maxServedShareDrop drop of the served share of the offered payoff
     * @param maxFailedShareRise rise of the failed share of the requests
     * @param maxMemoryRatio ratio of B's memory to A's
     * @param errorProbability probability that an equally good B is found worse, over the whole rollout
     */
    public record Thresholds(double maxServedShareDrop, double maxFailedShareRise, double maxMemoryRatio,
            double errorProbability) {
        public static final Thresholds DEFAULT = new Thresholds(0.02, 0.01, 1.5, 0.01);
    }

    /**
     * One instance at one moment.
     *
     * @param isOnB whether it runs B
     * @param servedShare part of the offered payoff that it served
     * @param failedShare part of the requests that failed
     * @param memoryMegabytes of memory that the process holds
     */
    public record Sample(String name, String zone, boolean isOnB, double servedShare, double failedShare,
            double memoryMegabytes) {
    }

    /** What the samples so far show. */
    public enum Verdict {
        /** Too few samples, or B serves less or fails more by the threshold or beyond, but not surely. */
        INCONCLUSIVE,
        /** On average B is no worse than A in served and failed share, or worse by less than the threshold. */
        PASSED,
        /** B is surely worse than A by more than a threshold, be it in served share, failed share or memory. */
        FAILED
    }

    /** Mean and variance (Welford) of one quantity over time; for differences, B less A. */
    private static final class Series {
        private int n;
        private double mean;
        private double squares;

        void add(double value) {
            n++;
            double before = value - mean;
            mean += before / n;
            squares += before * (value - mean);
        }

        double deviation() {
            return n < 2 ? 0 : Math.sqrt(squares / (n - 1));
        }

        /** Half the width of the interval that contains the true mean at all times, with probability 1 - error. */
        double radius(double error) {
            if (n < MIN_SAMPLES) {
                return Double.POSITIVE_INFINITY;
            }
            double l = -2 * StrictMath.log(error);
            double rho = (l + StrictMath.log(l + 1)) / TIGHTEST_AT_SAMPLES;
            double m = n * rho + 1;
            return deviation() * Math.sqrt(2 * m / (n * (double) n * rho) * StrictMath.log(Math.sqrt(m) / error));
        }
    }

    private final Thresholds terms;
    /** Differences in served share. */
    private final Map<String, Series> payoff = new TreeMap<>(); // by zone, and over all zones
    /** Differences in failed share. */
    private final Series failed = new Series();
    /** Ratios of B's memory to A's, less 1. */
    private final Series memory = new Series();
    /** Served shares. */
    private final Map<String, Series> servedByInstanceOnA = new HashMap<>();
    private String failureReason = "";

    /** Creates an analysis without samples. */
    public CanaryAnalysis(Thresholds terms) {
        this.terms = terms;
    }

    /** Adds the samples of all instances that serve at one moment; without any of A, or any of B, they are ignored. */
    public void addSamples(List<Sample> samples) {
        List<Sample> a = samples.stream().filter(sample -> !sample.isOnB()).toList();
        List<Sample> b = samples.stream().filter(Sample::isOnB).toList();
        if (a.isEmpty() || b.isEmpty()) {
            return;
        }
        a.forEach(sample -> servedByInstanceOnA.computeIfAbsent(sample.name(), name -> new Series())
                .add(sample.servedShare()));
        payoff.computeIfAbsent(ALL_ZONES, zone -> new Series())
                .add(mean(b, Sample::servedShare) - mean(a, Sample::servedShare));
        failed.add(mean(b, Sample::failedShare) - mean(a, Sample::failedShare));
        memory.add(mean(b, Sample::memoryMegabytes) / Math.max(1, mean(a, Sample::memoryMegabytes)) - 1);
        List<String> zones = b.stream().map(Sample::zone).filter(zone -> !zone.isEmpty()).distinct().toList();
        for (String zone : zones) {
            List<Sample> aInZone = a.stream().filter(sample -> sample.zone().equals(zone)).toList();
            payoff.computeIfAbsent(zone, z -> new Series())
                    .add(mean(b.stream().filter(sample -> sample.zone().equals(zone)).toList(), Sample::servedShare)
                            - mean(aInZone.isEmpty() ? a : aInZone, Sample::servedShare));
        }
        instancesOnB = b.size();
    }

    private int instancesOnB;

    private static double mean(List<Sample> samples, ToDoubleFunction<Sample> value) {
        return samples.stream().mapToDouble(value).average().orElse(0);
    }

    /** How far the means of two groups of equally good instances may lie apart by chance of their selection. */
    private double instanceSpread() {
        List<Double> means = new ArrayList<>();
        servedByInstanceOnA.values().stream().filter(series -> series.n >= MIN_SAMPLES)
                .forEach(series -> means.add(series.mean));
        if (means.size() < MIN_INSTANCES_ON_A) {
            return 0;
        }
        double mean = means.stream().mapToDouble(x -> x).average().orElse(0);
        double variance = means.stream().mapToDouble(x -> (x - mean) * (x - mean)).sum() / (means.size() - 1);
        return SPREAD_STANDARD_ERRORS * Math.sqrt(variance * (1.0 / Math.max(1, instancesOnB) + 1.0 / means.size()));
    }

    /** The verdict by all samples so far. */
    public Verdict verdict() {
        // The error is split over all comparisons: payoff in each zone, failures, memory.
        double error = terms.errorProbability() / (payoff.size() + 2);
        double spread = instanceSpread();
        for (Map.Entry<String, Series> entry : payoff.entrySet()) {
            Series series = entry.getValue();
            if (series.mean + series.radius(error) + spread < -terms.maxServedShareDrop()) {
                failureReason = String.format(Locale.ROOT,
                        "B serves a smaller share of the offered payoff than A%s: %.1f%% ± %.1f%% less",
                        entry.getKey().isEmpty() ? "" : " in zone " + entry.getKey(), -100 * series.mean,
                        100 * (series.radius(error) + spread));
                return Verdict.FAILED;
            }
        }
        if (failed.mean - failed.radius(error) > terms.maxFailedShareRise()) {
            failureReason = String.format(Locale.ROOT, "B fails a larger share of the requests than A: %.1f%% more",
                    100 * failed.mean);
            return Verdict.FAILED;
        }
        if (memory.mean - memory.radius(error) > terms.maxMemoryRatio() - 1) {
            failureReason = String.format(Locale.ROOT, "B holds %.1f times the memory of A", 1 + memory.mean);
            return Verdict.FAILED;
        }
        Series all = payoff.get(ALL_ZONES);
        return all == null || all.n < MIN_SAMPLES ? Verdict.INCONCLUSIVE
                : all.mean > -terms.maxServedShareDrop() && failed.mean < terms.maxFailedShareRise() ? Verdict.PASSED
                        : Verdict.INCONCLUSIVE;
    }

    /** In what B is worse, for operators; empty until {@link #verdict} has found it. */
    public String failureReason() {
        return failureReason;
    }

    /** Number of samples, each of a moment at which both versions were sampled. */
    public int sampleCount() {
        return payoff.containsKey(ALL_ZONES) ? payoff.get(ALL_ZONES).n : 0;
    }

    /** For operators: the difference in served share, its bounds, and the {@link #sampleCount}. */
    @Override
    public String toString() {
        Series all = payoff.get(ALL_ZONES);
        return all == null ? "nothing compared yet" : String.format(Locale.ROOT,
                "payoff of B against A %+.2f%% ± %.2f%% after %d samples", 100 * all.mean,
                100 * (Math.min(1, all.radius(terms.errorProbability())) + instanceSpread()), all.n);
    }
}
