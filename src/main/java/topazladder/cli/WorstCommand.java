package topazladder.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.experiment.WorstExperiment;

/** Looks for schedules that are as bad as can be; ends with status 1 where one broke something. */
@Command(name = "worst", mixinStandardHelpOptions = true,
        description = "In virtual time, schedules that are worse and worse in one measure, and the shortest of them.")
final class WorstCommand implements Callable<Integer> {
    @Mixin
    private TrialOptions trial;
    @Option(names = "--processes", defaultValue = "5", description = "Members of a hall (${DEFAULT-VALUE}).")
    private int processes;
    @Option(names = "--rounds", defaultValue = "100", description = "Of changes, each of a few (${DEFAULT-VALUE}).")
    private int rounds;
    @Option(names = "--folder", paramLabel = "FOLDER", description = "Where the shortest schedules go.")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        Result r = WorstExperiment.search(trial.seed(), processes, rounds, folder);
        String table = WorstExperiment.HEAD + r.table();
        trial.tell(table, "the worst", List.of("start", "worst", "shows"));
        return r.bad().isEmpty() ? 0 : 1;
    }
}
