package topazladder.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import topazladder.rollout.CanaryAnalysis.Verdict;

/** How often the canary analysis finds an equally good version worse, and how surely one that is worse. */
class CanaryAnalysisTest {
    private static final int SAMPLES = 200;

    /**
     * Samples until version B is found worse; SAMPLES where it never is.
     *
     * @param servedLoss by which B's served share is lower
     * @param failed failed share of B's requests
     * @param leak megabytes that B's memory grows by at each sample
     * @param zone in which B is worse; empty for all
     * @param instancesOnB of ten
     */
    private static int samplesUntilWorse(long seed, double servedLoss, double failed, double leak, String zone,
            int instancesOnB) {
        SplittableRandom random = new SplittableRandom(seed);
        CanaryAnalysis analysis = new CanaryAnalysis(CanaryAnalysis.Thresholds.DEFAULT);
        double[] offsets = random.doubles(10, -0.01, 0.01).toArray();
        double drift = 0;
        for (int n = 0; n < SAMPLES; n++) {
            drift = 0.8 * drift + random.nextDouble(-0.01, 0.01); // common to all instances
            List<CanaryAnalysis.Sample> samples = new ArrayList<>();
            for (int i = 0; i < offsets.length; i++) {
                boolean isOnB = i < instancesOnB;
                boolean isWorse = isOnB && (zone.isEmpty() || zone.equals("zone-" + i % 2));
                samples.add(new CanaryAnalysis.Sample("n" + i, "zone-" + i % 2, isOnB,
                        0.9 + offsets[i] + drift + random.nextDouble(-0.02, 0.02) - (isWorse ? servedLoss : 0),
                        isWorse ? failed : 0,
                        60 + random.nextDouble(-5, 5) + (isWorse ? leak * n : 0)));
            }
            analysis.addSamples(samples);
            if (analysis.verdict() == Verdict.FAILED) {
                return n;
            }
        }
        return SAMPLES;
    }

    /** Of 1000 rollouts, those whose version B is found worse. */
    private static long foundWorse(double servedLoss, double failed, double leak, String zone, int instancesOnB) {
        return LongStream.range(0, 1000)
                .filter(seed -> samplesUntilWorse(seed, servedLoss, failed, leak, zone, instancesOnB) < SAMPLES)
                .count();
    }

    @Test
    void anEquallyGoodVersionIsRarelyFoundWorseThoughTheVerdictIsReadAfterEachSample() {
        assertThat(foundWorse(0, 0, 0, "", 1)).as("of 1000, two hundred samples each").isLessThan(10);
        assertThat(foundWorse(0, 0, 0, "", 5)).isLessThan(10);
    }

    @Test
    void aWorseVersionIsFound() {
        assertThat(foundWorse(0.1, 0, 0, "", 1)).as("serves 10%% less").isGreaterThan(990);
        assertThat(foundWorse(0, 0.05, 0, "", 1)).as("fails 5%% of the requests").isGreaterThan(990);
        assertThat(foundWorse(0, 0, 1, "", 1)).as("leaks memory").isGreaterThan(990);
        assertThat(foundWorse(0.1, 0, 0, "zone-1", 4)).as("serves less in one zone").isGreaterThan(990);
    }

    @Test
    void aVersionThatIsWorseByLessThanItMayBeIsAccepted() {
        assertThat(foundWorse(0.01, 0, 0, "", 3)).isLessThan(10);
    }

    @Test
    void withoutInstancesOnATheVerdictIsInconclusive() {
        CanaryAnalysis analysis = new CanaryAnalysis(CanaryAnalysis.Thresholds.DEFAULT);
        for (int i = 0; i < 50; i++) {
            analysis.addSamples(List.of(new CanaryAnalysis.Sample("n0", "", true, 0.1, 0.5, 900)));
        }
        assertThat(analysis.verdict()).isEqualTo(Verdict.INCONCLUSIVE);
        assertThat(analysis.sampleCount()).isZero();
    }
}
