package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Traces of scenarios, kept in src/test/resources/traces for whoever reviews a change of decisions. */
public final class RecordedTrace {

    private RecordedTrace() {}

    /** Compares what was played with the kept trace, and leaves it in target/traces for a change that is meant. */
    public static void assertMatches(String name, String played) {
        try (InputStream kept = RecordedTrace.class.getResourceAsStream("/traces/" + name + ".txt")) {
            Files.createDirectories(Path.of("target/traces"));
            Files.writeString(Path.of("target/traces", name + ".txt"), played);
            assertThat(kept).as("trace kept for " + name).isNotNull();
            assertThat(played).isEqualTo(new String(kept.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
