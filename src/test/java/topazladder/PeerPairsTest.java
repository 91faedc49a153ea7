package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Set;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.Test;
import topazladder.emulator.PeerTrial.Condition;
import topazladder.emulator.PeerTrial.Told;
import topazladder.experiment.PeerExperiment;
import topazladder.experiment.PeerExperiment.Result;

/** The short form of the experiment: virtual time and fixed seeds, so that it comes out the same each time. */
class PeerPairsTest {

    @Test
    void aToldOneLosesLessBeyondNoiseThanOneThatReturnsAlone() {
        for (Condition condition : EnumSet.of(Condition.ORDINARY, Condition.OVERLOAD)) {
            Result r = PeerExperiment.pairs(condition, Told.ALL, Set.of(), 40);
            assertThat(r.lost().lessBeyondNoise()).as(condition + ": " + r.lost().row()).isTrue();
        }
    }

    @Test
    void staleForeignCutOrTroubledItIsNeverWorseBeyondNoise() {
        SoftAssertions soft = new SoftAssertions();
        for (Condition condition : Condition.values()) {
            for (Told told : EnumSet.of(Told.HOUR_OLD, Told.STALE, Told.FOREIGN, Told.CUT, Told.TROUBLED)) {
                Result r = PeerExperiment.pairs(condition, told, Set.of(), 20);
                soft.assertThat(r.lost().moreBeyondNoise()).as(condition + " " + told + ": " + r.lost().row())
                        .isFalse();
            }
        }
        soft.assertAll();
    }

    @Test
    void theSameSeedGivesTheSameFigures() {
        assertThat(PeerExperiment.pairs(Condition.OVERLOAD, Told.ALL, Set.of(), 2).lost().row())
                .isEqualTo(PeerExperiment.pairs(Condition.OVERLOAD, Told.ALL, Set.of(), 2).lost().row());
    }
}
