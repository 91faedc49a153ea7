package topazladder.emulator.hall;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import topazladder.config.FaultScheduleFile;
import topazladder.experiment.WorstExperiment;

/** The schedules that were kept for what they showed: the worst that searches found. */
class ScenariosTest {
    private static final Path FOLDER = Path.of("docs", "scenarios");

    @Test
    void noneOfThemBreaksAnything() throws IOException {
        List<Path> all;
        try (Stream<Path> files = Files.list(FOLDER)) {
            all = files.filter(f -> f.toString().endsWith(".txtpb")).sorted().toList();
        }
        assertThat(all).hasSizeGreaterThanOrEqualTo(25);
        assertThat(all.parallelStream().filter(f -> {
            try {
                return !WorstExperiment.played(FaultScheduleFile.of(Files.readString(f))).isEmpty();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).toList()).as("scenarios that break something").isEmpty();
    }
}
