package topazladder.rig;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** A scale run that would take too much of the machine starts nothing. */
class ScaleLimitsTest {
    private static final int MACHINE_MB = 32_000;

    private static ScaleSettings of(int hollow, int real, int eachProcess) {
        return new ScaleSettings(hollow, real, 3, 50, 1, 1, 1, eachProcess, 0.3, 1);
    }

    @Test
    void theSizeToDesignForFitsAMachineOfThirtyTwoGigabytes() {
        assertThatCode(() -> ScaleLimits.check(of(1489, 8, 250), MACHINE_MB)).doesNotThrowAnyException();
    }

    @Test
    void moreProcessesThanAllowedAreRefused() {
        assertThatThrownBy(() -> ScaleLimits.check(of(600, 8, 2), 1_000_000)).hasMessageContaining("311 processes")
                .hasMessageContaining("at most 300");
    }

    @Test
    void moreThanHalfOfTheMemoryIsRefused() {
        assertThatThrownBy(() -> ScaleLimits.check(of(1489, 8, 250), 10_000)).hasMessageContaining("half");
    }
}
