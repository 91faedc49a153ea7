package topazladder.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;
import topazladder.experiment.Charts;

/** What experiments over seeds have in common: which seeds, and where their table goes. */
final class TrialOptions {
    @Option(names = "--seed", defaultValue = "1", description = "The first (${DEFAULT-VALUE}).")
    private long seed;
    @Option(names = "--seeds", defaultValue = "10",
            description = "How many, where it plays several (${DEFAULT-VALUE}).")
    private int seeds;
    @Option(names = "--chart", paramLabel = "FILE", description = "Draws the table's figures, as SVG.")
    private Path chart;
    @Option(names = "--out", paramLabel = "FILE", description = "Where the table goes as well.")
    private Path out;

    long seed() {
        return seed;
    }

    int seeds() {
        return seeds;
    }

    /** @param columns that a chart shows, of those that the table has */
    void tell(String table, String title, List<String> columns) throws IOException {
        System.out.print(table);
        if (chart != null) {
            Charts.bars(table, title, columns, chart);
        }
        if (out != null) {
            Files.writeString(out, table);
        }
    }
}
