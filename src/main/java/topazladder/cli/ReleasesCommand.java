package topazladder.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.experiment.ReleasesExperiment;

/** Releases under faults; ends with status 1 where a schedule broke a rule. */
@Command(name = "releases", mixinStandardHelpOptions = true,
        description = "Releases through a hall, under drawn faults and beside other ways to roll.")
final class ReleasesCommand implements Callable<Integer> {
    @Mixin
    private TrialOptions trial;
    @Option(names = "--processes", defaultValue = "7", description = "Members of a hall (${DEFAULT-VALUE}).")
    private int processes;
    @Option(names = "--beside", defaultValue = "1", description = "Halls beside each other (${DEFAULT-VALUE}).")
    private int beside;
    @Option(names = "--emulated", description = "In virtual time.")
    private boolean emulated;
    @Option(names = "--plants", description = "In virtual time, each planted mistake over the schedules.")
    private boolean plants;
    @Option(names = "--cuts", paramLabel = "BUDGET",
            description = "In virtual time, something broken at each step of one release, in turn.")
    private int cuts;
    @Option(names = "--compare", description = "In virtual time, beside timers and rolls that nobody agrees on.")
    private boolean compare;
    @Option(names = "--judged", description = "In virtual time, versions that are worse, and one that is not.")
    private boolean judged;

    @Override
    public Integer call() throws Exception {
        int status = 0;
        String table;
        if (cuts > 0 && plants) {
            table = ReleasesExperiment.plantsByCuts(processes, cuts);
        } else if (cuts > 0) {
            Result r = ReleasesExperiment.cuts(processes, cuts);
            table = ReleasesExperiment.CUTS_HEAD + r.table();
            status = r.bad().isEmpty() ? 0 : 1;
        } else if (plants) {
            table = ReleasesExperiment.plants(trial.seed(), trial.seeds(), processes);
        } else if (compare) {
            table = ReleasesExperiment.compare(processes, trial.seeds());
        } else if (judged) {
            table = ReleasesExperiment.judged(processes, trial.seeds());
        } else {
            Result r = emulated ? ReleasesExperiment.emulated(trial.seed(), trial.seeds(), processes)
                    : ReleasesExperiment.real(trial.seed(), trial.seeds(), processes, beside);
            table = (emulated ? ReleasesExperiment.EMULATED_HEAD : ReleasesExperiment.REAL_HEAD) + r.table();
            if (!r.bad().isEmpty()) {
                status = 1;
                table += "\nseeds that failed: " + r.bad() + "\n";
            }
        }
        trial.tell(table, "releases", List.of("payoff lost while rolling, median", "most out at once", "done",
                "halted", "instances on B at the halt, median", "seconds, median",
                "trial.seeds() that break a rule, of " + trial.seeds()));
        return status;
    }
}
