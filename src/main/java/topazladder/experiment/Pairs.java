package topazladder.experiment;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.IntStream;
import org.apache.commons.statistics.descriptive.Mean;
import org.apache.commons.statistics.descriptive.Quantile;
import org.apache.commons.statistics.descriptive.StandardDeviation;
import org.apache.commons.statistics.distribution.TDistribution;
import org.apache.commons.statistics.inference.WilcoxonSignedRankTest;

/**
 * Differences of pairs that share all but one thing.
 *
 * @param with a figure of each pair with it
 * @param without the same pair's without it
 */
public record Pairs(double[] with, double[] without) {
    private static final double CONFIDENCE = 0.95;

    private double[] differences() {
        return IntStream.range(0, with.length).mapToDouble(i -> with[i] - without[i]).toArray();
    }

    public double mean() {
        return Mean.of(differences()).getAsDouble();
    }

    /** Half the width of the interval that holds the true mean with 95% confidence, by Student's t. */
    public double halfWidth() {
        int n = with.length;
        if (n < 2) {
            return Double.POSITIVE_INFINITY;
        }
        double spread = StandardDeviation.of(differences()).getAsDouble();
        return TDistribution.of(n - 1).inverseCumulativeProbability((1 + CONFIDENCE) / 2) * spread / Math.sqrt(n);
    }

    /** Lower quartile, median and upper quartile of the differences. */
    public double[] quartiles() {
        return Quantile.withDefaults().evaluate(differences(), 0.25, 0.5, 0.75);
    }

    /** Chance that such differences come by luck, without a belief in how they spread; 1 where none differs. */
    public double chanceOfLuck() {
        double[] nonZero = Arrays.stream(differences()).filter(d -> d != 0).toArray();
        return nonZero.length < 2 ? 1 : WilcoxonSignedRankTest.withDefaults().test(nonZero).getPValue();
    }

    public boolean lessBeyondNoise() {
        return mean() + halfWidth() < 0;
    }

    public boolean moreBeyondNoise() {
        return mean() - halfWidth() > 0;
    }

    /** One row of a table: mean with and without, difference with its interval, quartiles, chance of luck. */
    public String row() {
        double[] q = quartiles();
        return String.format(Locale.ROOT, "%.4f | %.4f | %+.4f ± %.4f | %+.4f %+.4f %+.4f | %.4f",
                Mean.of(without).getAsDouble(), Mean.of(with).getAsDouble(), mean(), halfWidth(), q[0], q[1], q[2],
                chanceOfLuck());
    }
}
