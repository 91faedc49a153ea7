package topazladder.net.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The lease clock follows whichever of its two clocks advanced further, and never runs backwards. */
class LeaseClockTest {
    private double monotonic = 100;
    private double wallClock = 1e9;

    private double elapsed(LeaseClock clock, double before, double monotonicSeconds, double wallClockSeconds) {
        monotonic += monotonicSeconds;
        wallClock += wallClockSeconds;
        return clock.getAsDouble() - before;
    }

    @Test
    void countsTheTimeThatTheComputerSlept() {
        LeaseClock clock = new LeaseClock(() -> monotonic, () -> wallClock, 1);
        double before = clock.getAsDouble();
        assertThat(elapsed(clock, before, 2, 2.1)).isCloseTo(2, org.assertj.core.data.Offset.offset(1e-9));
        before = clock.getAsDouble();
        assertThat(elapsed(clock, before, 0.01, 3600)).isGreaterThan(3599);
    }

    @Test
    void ignoresAWallClockThatIsSetBack() {
        LeaseClock clock = new LeaseClock(() -> monotonic, () -> wallClock, 1);
        double before = clock.getAsDouble();
        assertThat(elapsed(clock, before, 1, -3600)).isCloseTo(1, org.assertj.core.data.Offset.offset(1e-9));
    }

    @Test
    void runsAtItsRate() {
        LeaseClock clock = new LeaseClock(() -> monotonic, () -> wallClock, 0.95);
        double before = clock.getAsDouble();
        assertThat(elapsed(clock, before, 10, 10)).isCloseTo(9.5, org.assertj.core.data.Offset.offset(1e-9));
    }
}
