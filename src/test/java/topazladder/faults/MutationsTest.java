package topazladder.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import topazladder.config.FaultScheduleFile;
import topazladder.faults.Fault.Kind;

/** Schedules near another one. */
class MutationsTest {

    @Property(tries = 100)
    void whatIsChangedIsAScheduleThatCanBeWrittenAndRead(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Schedule s = Schedule.draw(seed, 7, 10);
        for (int i = 0; i < 50; i++) {
            s = Mutations.mutated(s, chance);
            assertThat(s.faults()).isNotEmpty().hasSizeLessThan(12).isSortedAccordingTo(
                    (a, b) -> Double.compare(a.at(), b.at()));
        }
        assertThat(FaultScheduleFile.of(FaultScheduleFile.text(s))).isEqualTo(s);
    }

    @Test
    void whatIsLookedForStaysAndAllElseGoes() {
        Schedule s = new Schedule(1, 5, 3, List.of(1.0, 1.0, 1.0, 1.0, 1.0), List.of(
                new Fault(6, Kind.KILL, 1, -1, 4, 0), new Fault(7, Kind.STALL, 2, -1, 8, 0),
                new Fault(8, Kind.MUTE, 3, -1, 4, 0)), 10);
        Schedule least = Mutations.shrunk(s, t -> t.faults().stream().anyMatch(f -> f.kind() == Kind.STALL
                && f.seconds() > 1.5));
        assertThat(least.faults()).containsExactly(new Fault(7, Kind.STALL, 2, -1, 2, 0));
    }
}
