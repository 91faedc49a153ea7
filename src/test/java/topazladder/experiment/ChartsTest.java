package topazladder.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChartsTest {
    @TempDir
    private Path folder;

    @Test
    void aTableIsDrawnWithARowAGroupAndAColumnABar() throws IOException {
        Path file = folder.resolve("a.svg");
        String table = "ten members\n\n| way | lost | most |\n| --- | --- | --- |\n| agreed | 0.7% | 2 |\n"
                + "| at will | 7.1% | 23 |\n";
        Charts.bars(table, "releases", List.of("lost", "not there"), file);
        assertThatThrownBy(() -> Charts.bars(table, "t", List.of("not there"), file)).isInstanceOf(IOException.class);
        String svg = Files.readString(file);
        assertThat(svg).contains("<svg");
        assertThat(Files.size(file)).isGreaterThan(2000);
    }

    @Test
    void whatIsNoTableIsRefused() {
        assertThatThrownBy(() -> Charts.bars("nothing", "t", List.of("a"), folder.resolve("b"))).isInstanceOf(
                IOException.class);
    }
}
