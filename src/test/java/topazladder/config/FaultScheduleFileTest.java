package topazladder.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import topazladder.faults.Schedule;

/** Schedules of faults as files. */
class FaultScheduleFileTest {

    @Property(tries = 300)
    void whatIsWrittenIsReadAsTheSame(@ForAll long seed, @ForAll @IntRange(min = 3, max = 12) int processes) {
        Schedule drawn = Schedule.draw(seed, processes, 25);
        assertThat(FaultScheduleFile.of(FaultScheduleFile.text(drawn))).isEqualTo(drawn);
        Schedule storm = Schedule.storm(seed, 25);
        assertThat(FaultScheduleFile.of(FaultScheduleFile.text(storm))).isEqualTo(storm);
    }

    private static void refused(String text, String why) {
        assertThatThrownBy(() -> FaultScheduleFile.of(text)).isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining(why);
    }

    @Test
    void whatIsWrongIsToldByItsPlace() {
        refused("processes: 5 voters: 4", "voters should be");
        refused("processes: 0 voters: 3", "processes should be");
        refused("processes: 5 voters: 3 faults { kind: \"flood\" }", "faults[0].kind is none");
        refused("processes: 5 voters: 3 faults { kind: \"kill\" who: \"n5\" }", "faults[0].who should be one of n0 to");
        refused("processes: 5 voters: 3 faults { kind: \"kill\" }", "faults[0].who is missing");
        refused("processes: 5 voters: 3 faults { kind: \"loss\" who: \"n1\" amount: 0.1 }", "who says nothing here");
        refused("processes: 5 voters: 3 faults { kind: \"cut\" who: \"n1\" }", "faults[0].other should be one of");
        refused("processes: 5 voters: 3 faults { kind: \"halves\" }", "faults[0].side is missing");
        refused("processes: 5 voters: 3 faults { kind: \"kill\" who: \"n1\" side: \"n2\" }", "side for halves");
        refused("processes: 5 voters: 3 faults { kind: \"flap\" who: \"n1\" }", "faults[0].amount should be");
        refused("processes: 5\nvoters: 3 what: 7", "line 2");
    }
}
