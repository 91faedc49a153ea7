package topazladder.release;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import topazladder.release.Judge.Verdict;

/** How often a version that is as good is called worse, and how soon one that is worse. */
class JudgeTest {
    private static final int LOOKS = 200;

    /** Looks until it is called worse; LOOKS where it never is. */
    private static int until(long seed, double less, double spoilt, double leak, String zone, int moved) {
        SplittableRandom chance = new SplittableRandom(seed);
        Judge judge = new Judge(Judge.Terms.USUAL);
        double[] own = chance.doubles(10, -0.01, 0.01).toArray();
        double drift = 0;
        for (int look = 0; look < LOOKS; look++) {
            drift = 0.8 * drift + chance.nextDouble(-0.01, 0.01); // the day moves all of them together
            List<Judge.Look> all = new ArrayList<>();
            for (int i = 0; i < own.length; i++) {
                boolean b = i < moved;
                boolean bad = b && (zone.isEmpty() || zone.equals("zone-" + i % 2));
                all.add(new Judge.Look("n" + i, "zone-" + i % 2, b, 0.9 + own[i] + drift + chance.nextDouble(-0.02,
                        0.02)
                        - (bad ? less : 0), bad ? spoilt : 0, 60 + chance.nextDouble(-5, 5) + (bad ? leak * look : 0)));
            }
            judge.look(all);
            if (judge.verdict() == Verdict.WORSE) {
                return look;
            }
        }
        return LOOKS;
    }

    private static long called(double less, double spoilt, double leak, String zone, int moved) {
        return LongStream.range(0, 1000).filter(seed -> until(seed, less, spoilt, leak, zone, moved) < LOOKS).count();
    }

    @Test
    void oneThatIsAsGoodIsHardlyEverCalledWorseHoweverOftenOneLooks() {
        assertThat(called(0, 0, 0, "", 1)).as("of 1000, two hundred looks each").isLessThan(10);
        assertThat(called(0, 0, 0, "", 5)).isLessThan(10);
    }

    @Test
    void oneThatIsWorseIsFound() {
        assertThat(called(0.1, 0, 0, "", 1)).as("10%% less of what is asked").isGreaterThan(990);
        assertThat(called(0, 0.05, 0, "", 1)).as("5%% broken off").isGreaterThan(990);
        assertThat(called(0, 0, 1, "", 1)).as("leaks").isGreaterThan(990);
        assertThat(called(0.1, 0, 0, "zone-1", 4)).as("in one zone").isGreaterThan(990);
    }

    @Test
    void oneThatIsALittleWorseIsBorne() {
        assertThat(called(0.01, 0, 0, "", 3)).isLessThan(10);
    }

    @Test
    void withoutAnyOfAThereIsNothingToCompare() {
        Judge judge = new Judge(Judge.Terms.USUAL);
        for (int i = 0; i < 50; i++) {
            judge.look(List.of(new Judge.Look("n0", "", true, 0.1, 0.5, 900)));
        }
        assertThat(judge.verdict()).isEqualTo(Verdict.UNKNOWN);
        assertThat(judge.looks()).isZero();
    }
}
