package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Holds docs/decisions.md to the sources that it names. */
class DecisionsPageTest {
    private static final Pattern SOURCE = Pattern.compile("`([a-z]+(?:/[a-z]+)*/[A-Z]\\w*\\.java)`");
    private static final int LEAST_FILES = 20;

    @Test
    void eachFileThatThePageNamesExists() throws IOException {
        String page = Files.readString(Path.of("docs", "decisions.md"));
        List<String> named = SOURCE.matcher(page).results().map(match -> match.group(1)).toList();
        assertThat(named).hasSizeGreaterThan(LEAST_FILES);
        assertThat(named).allSatisfy(file -> assertThat(Path.of("src/main/java/topazladder", file)).exists());
    }
}
