package topazladder.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.experiment.SearchExperiment;

/** Goes through what may happen; ends with status 1 where something is broken by it. */
@Command(name = "search", mixinStandardHelpOptions = true,
        description = "All orders of messages, losses, crashes and time, up to a depth, over leases, leave and plans.")
final class SearchCommand implements Callable<Integer> {
    @Option(names = "--depth", defaultValue = "60", description = "Steps from the start (${DEFAULT-VALUE}).")
    private int depth;
    @Option(names = "--states", defaultValue = "200000", description = "States of each protocol (${DEFAULT-VALUE}).")
    private long states;
    @Option(names = "--plants", description = "With each planted mistake as well.")
    private boolean plants;
    @Option(names = "--out", paramLabel = "FILE", description = "Where the table goes as well.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Result r = SearchExperiment.search(depth, states, plants);
        String table = SearchExperiment.HEAD + r.table();
        System.out.print(table);
        if (out != null) {
            Files.writeString(out, table);
        }
        return r.bad().isEmpty() ? 0 : 1;
    }
}
