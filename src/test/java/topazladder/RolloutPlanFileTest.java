package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import topazladder.config.InvalidSettingsException;
import topazladder.config.RolloutPlanFile;
import topazladder.rollout.RolloutPlan;

class RolloutPlanFileTest {
    private static final String WAVES = " waves { most: 1 }";

    private static void refused(String text, String why) {
        assertThatThrownBy(() -> RolloutPlanFile.of(text)).isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining(why);
    }

    @Test
    void theExampleIsAPlan() throws IOException {
        RolloutPlan p = RolloutPlanFile.of(Files.readString(Path.of("deploy/release.example.txtpb")));
        assertThat(p.waves()).hasSize(3);
        assertThat(p.targetVersion(false)).isEqualTo("2026.12");
        assertThat(p.targetVersion(true)).isEqualTo("2026.11");
    }

    @Test
    void whatIsWrongIsSaidWithItsPlace() {
        refused("name: 3", "line 1");
        refused("from { name: \"A\" } to { name: \"A\" }" + WAVES, "two versions");
        refused("from { name: \"A\" } to { name: \"B\" }", "waves");
        refused("from { name: \"A\" } to { name: \"B\" } waves { share: 2 }", "waves[0].share");
        refused("from { name: \"A\" } to { name: \"B\" } judge { error: 0.5 }" + WAVES, "judge.error");
    }

    @Test
    void aPlanWithoutAWayBackHasToSaySo() {
        String oneWay = "from { name: \"A\" writes: 4 reads: 4 } to { name: \"B\" writes: 5 reads: 5 }" + WAVES;
        refused(oneWay, "no way back");
        assertThat(RolloutPlanFile.of(oneWay + " one_way: true").oneWay()).isTrue();
        refused("from { name: \"A\" writes: 4 } to { name: \"B\" reads: 3 } one_way: true" + WAVES, "reads up to");
    }
}
