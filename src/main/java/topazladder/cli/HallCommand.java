package topazladder.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.experiment.HallCampaign;

/** A hall of many processes under one trouble after another; ends with status 1 where something was broken. */
@Command(name = "hall", mixinStandardHelpOptions = true,
        description = "Many real processes under load and one trouble after another, with a page of charts.")
final class HallCommand implements Callable<Integer> {
    @Mixin
    private TrialOptions trial;
    @Option(names = "--processes", defaultValue = "20", description = "Of the hall (${DEFAULT-VALUE}).")
    private int processes;
    @Option(names = "--minutes", defaultValue = "10", description = "For which it goes on (${DEFAULT-VALUE}).")
    private double minutes;
    @Option(names = "--load", defaultValue = "0.3", description = "Of each instance's cores (${DEFAULT-VALUE}).")
    private double load;
    @Option(names = "--folder", defaultValue = "target/hall", description = "What came of it; a campaign that was"
            + " stopped goes on from there (${DEFAULT-VALUE}).")
    private Path folder;
    @Option(names = "--emulated", description = "In virtual time: each kind of trouble, by so many seeds.")
    private boolean emulated;

    @Override
    public Integer call() throws Exception {
        Result r = emulated ? HallCampaign.emulated(processes, trial.seeds())
                : new HallCampaign(processes, trial.seed(), load, folder).play(minutes);
        String table = HallCampaign.HEAD + r.table();
        trial.tell(table, "troubles of a hall", List.of("payoff lost meanwhile, median",
                "seconds until the payoff is back, median", "seconds without a holder, median"));
        return r.bad().isEmpty() ? 0 : 1;
    }
}
