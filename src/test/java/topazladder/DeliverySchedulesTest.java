package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import topazladder.emulator.DeliveryTrial;
import topazladder.emulator.DeliveryTrial.Result;

/** A part of the schedules that one command plays in full; each failure names its seed. */
class DeliverySchedulesTest {

    @Test
    void noScheduleOfFaultsBreaksARule() {
        LongStream.range(1, 301).parallel().forEach(seed -> {
            Result r = DeliveryTrial.play(seed, true);
            assertThat(r.breaks()).as("seed " + seed + " " + r.schedule()).isEmpty();
            assertThat(r.counts().get("runs")).as("seed " + seed).isPositive();
        });
    }

    @Test
    void theSameSeedPlaysTheSame() {
        assertThat(DeliveryTrial.play(11, true)).isEqualTo(DeliveryTrial.play(11, true));
    }
}
