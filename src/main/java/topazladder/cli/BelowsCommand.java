package topazladder.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import topazladder.experiment.BelowsExperiment;
import topazladder.experiment.DutiesExperiment.Result;

/** Servers below under troubles; ends with status 1 where a schedule broke a rule. */
@Command(name = "belows", mixinStandardHelpOptions = true,
        description = "In virtual time, servers below that a hall leaves out by agreement, under drawn troubles.")
final class BelowsCommand implements Callable<Integer> {
    @Mixin
    private TrialOptions trial;
    @Option(names = "--processes", defaultValue = "7", description = "Members of a hall (${DEFAULT-VALUE}).")
    private int processes;
    @Option(names = "--plants", description = "Each planted mistake over the schedules.")
    private boolean plants;
    @Option(names = "--compare", description = "Beside instances that leave servers out by themselves, or none.")
    private boolean compare;

    @Override
    public Integer call() throws Exception {
        int status = 0;
        String table;
        if (compare) {
            table = BelowsExperiment.compare(processes, trial.seeds());
        } else if (plants) {
            table = BelowsExperiment.plants(trial.seed(), trial.seeds(), processes).table();
        } else {
            Result r = BelowsExperiment.emulated(trial.seed(), trial.seeds(), processes);
            table = BelowsExperiment.HEAD + r.table();
            if (!r.bad().isEmpty()) {
                status = 1;
                table += "\nseeds that failed: " + r.bad() + "\n";
            }
        }
        trial.tell(table, "servers below", List.of("calls lost, median", "most out at once",
                "trial.seeds() that show it, of " + trial.seeds()));
        return status;
    }
}
