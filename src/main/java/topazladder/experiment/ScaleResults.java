package topazladder.experiment;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import topazladder.rig.ScaleMeasurement;
import topazladder.rig.ScaleSettings;

/** Measurements of scale runs in a file, a line of JSON each; a run that was stopped goes on behind the last line. */
final class ScaleResults {
    private final Path file;
    private final String commit;
    private final List<ScaleMeasurement> all = new ArrayList<>();

    /** @param commit of the program that is measured; lines of another are kept in the file, and not used */
    ScaleResults(Path file, String commit) throws IOException {
        this.file = file;
        this.commit = commit;
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file)) {
                JsonObject json = new JsonObject(line);
                if (commit.equals(json.getString("commit"))) {
                    all.add(ScaleMeasurement.of(json));
                }
            }
        }
    }

    Optional<ScaleMeasurement> with(ScaleSettings settings) {
        return all.stream().filter(m -> m.settings().equals(settings)).findFirst();
    }

    void add(ScaleMeasurement measured) throws IOException {
        all.add(measured);
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(file, measured.json(commit).encode() + "\n", StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }
}
