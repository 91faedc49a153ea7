package topazladder.net.hall;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The clock that leases are counted by goes by whichever clock went further, and never back. */
class HallClockTest {
    private double monotonic = 100;
    private double day = 1e9;

    private double passes(HallClock clock, double before, double byMonotonic, double byDay) {
        monotonic += byMonotonic;
        day += byDay;
        return clock.getAsDouble() - before;
    }

    @Test
    void aMachineThatSleptCountsItsSleep() {
        HallClock clock = new HallClock(() -> monotonic, () -> day, 1);
        double at = clock.getAsDouble();
        assertThat(passes(clock, at, 2, 2.1)).isCloseTo(2, org.assertj.core.data.Offset.offset(1e-9));
        at = clock.getAsDouble();
        assertThat(passes(clock, at, 0.01, 3600)).isGreaterThan(3599);
    }

    @Test
    void aTimeOfDayThatIsSetBackChangesNothing() {
        HallClock clock = new HallClock(() -> monotonic, () -> day, 1);
        double at = clock.getAsDouble();
        assertThat(passes(clock, at, 1, -3600)).isCloseTo(1, org.assertj.core.data.Offset.offset(1e-9));
    }

    @Test
    void aRehearsalsClockRunsAtItsRate() {
        HallClock clock = new HallClock(() -> monotonic, () -> day, 0.95);
        double at = clock.getAsDouble();
        assertThat(passes(clock, at, 10, 10)).isCloseTo(9.5, org.assertj.core.data.Offset.offset(1e-9));
    }
}
