package topazladder.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import topazladder.config.FaultScheduleFile;
import topazladder.experiment.DutiesExperiment;
import topazladder.experiment.DutiesExperiment.Result;
import topazladder.faults.Schedule;
import topazladder.rig.RigPlan;

/** Duties under faults; ends with status 1 where one schedule broke something or left something undone. */
@Command(name = "duties", mixinStandardHelpOptions = true,
        description = "Drawn schedules of faults over duties: real processes on loopback, or virtual time.")
final class DutiesCommand implements Callable<Integer> {
    @Mixin
    private TrialOptions trial;
    @Option(names = "--processes", defaultValue = "5", description = "Members of a hall (${DEFAULT-VALUE}).")
    private int processes;
    @Option(names = "--beside", defaultValue = "1", description = "Halls beside each other (${DEFAULT-VALUE}).")
    private int beside;
    @Option(names = "--emulated", description = "In virtual time.")
    private boolean emulated;
    @Option(names = "--plants", description = "In virtual time, each planted mistake over the schedules.")
    private boolean plants;
    @Option(names = "--sizes", split = ",", paramLabel = "N",
            description = "In virtual time, what halls of so many say.")
    private int[] sizes;
    @Option(names = "--crowds", split = ",", paramLabel = "N",
            description = "Real processes that vote, and so many members on sockets that ask.")
    private int[] crowds;
    @Option(names = "--hand-overs", description = "In virtual time, seconds without a holder by what becomes of it.")
    private boolean handOvers;
    @Option(names = "--payoff", description = "Payoff with and without a hall, real processes, so many pairs as seeds.")
    private boolean payoff;
    @Option(names = "--cost", description = "Processor time and memory of a member, real processes.")
    private boolean cost;
    @Option(names = "--starved", paramLabel = "SECONDS",
            description = "All processes on one core at 150%% load: what changes hands though nothing is broken.")
    private double starved;
    @Option(names = "--usual", description = "With --payoff and --cost: leases, heartbeats and looks as installations"
            + " have them that set nothing, in place of the quick ones of rehearsals.")
    private boolean usual;
    @Option(names = "--storms", description = "In virtual time, trouble of the voters alone, close together.")
    private boolean storms;
    @Option(names = "--schedule", paramLabel = "FILE", description = "Plays this one, as a file.")
    private Path schedule;
    @Option(names = "--write", paramLabel = "FILE", description = "Writes the schedule of the seed, and plays nothing.")
    private Path write;
    @Option(names = "--clocks-of", paramLabel = "SEED", defaultValue = "0",
            description = "Real processes whose clocks are those of another schedule, for a replay.")
    private long clocksOf;

    @Override
    public Integer call() throws Exception {
        int status = 0;
        String table;
        RigPlan.Pace pace = usual ? RigPlan.Pace.USUAL : RigPlan.Pace.QUICK;
        if (write != null) {
            Files.writeString(write, FaultScheduleFile.text(DutiesExperiment.drawn(trial.seed(), processes, storms)));
            return 0;
        }
        if (sizes != null) {
            table = DutiesExperiment.sizes(sizes);
        } else if (crowds != null) {
            table = DutiesExperiment.crowds(crowds);
        } else if (handOvers) {
            table = DutiesExperiment.handOvers(trial.seeds());
        } else if (payoff) {
            table = DutiesExperiment.payoff(trial.seed(), trial.seeds(), processes, 10, pace);
        } else if (cost) {
            table = DutiesExperiment.cost(processes, 30, pace);
        } else if (starved > 0) {
            table = DutiesExperiment.starved(processes, 1.5, starved, 0);
        } else {
            Result r = plants ? DutiesExperiment.plants(trial.seed(), trial.seeds(), processes, storms)
                    : schedule != null ? ofFile()
                            : emulated ? DutiesExperiment.emulated(trial.seed(), trial.seeds(), processes, storms)
                                    : DutiesExperiment.real(trial.seed(), trial.seeds(), processes, beside, clocksOf);
            table = (plants ? "" : emulated ? DutiesExperiment.EMULATED_HEAD : DutiesExperiment.REAL_HEAD) + r.table();
            if (!plants && !r.bad().isEmpty()) {
                status = 1;
                table += "\nseeds that failed: " + r.bad() + "\n";
            }
        }
        trial.tell(table, "duties", List.of("longest gap, median s", "95%", "most",
                "messages a member and second", "of the busiest", "until right, median s"));
        return status;
    }

    private Result ofFile() throws Exception {
        Schedule s = FaultScheduleFile.of(Files.readString(schedule));
        return emulated ? DutiesExperiment.emulated(s) : DutiesExperiment.real(s);
    }
}
