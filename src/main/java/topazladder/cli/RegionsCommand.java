package topazladder.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazladder.experiment.RegionsExperiment;

/** Crashes and regions apart in a large cluster, in virtual time. */
@Command(name = "regions", mixinStandardHelpOptions = true,
        description = "A large cluster in virtual time: crashes of a machine, a rack and a zone, and a region apart.")
final class RegionsCommand implements Callable<Integer> {
    @Option(names = "--members", defaultValue = "1500", description = "Of the cluster (${DEFAULT-VALUE}).")
    private int members;
    @Option(names = "--voters", defaultValue = "5", description = "Of them (${DEFAULT-VALUE}).")
    private int voters;
    @Option(names = "--crashes", split = ",", defaultValue = "1,20,125",
            description = "Members that end at once: a machine, a rack, a zone (${DEFAULT-VALUE}).")
    private List<Integer> crashes;
    @Option(names = "--apart", defaultValue = "3600",
            description = "Seconds that a region is apart (${DEFAULT-VALUE}).")
    private double apart;
    @Option(names = "--seed", defaultValue = "1", description = "Of chance (${DEFAULT-VALUE}).")
    private long seed;
    @Option(names = "--out", paramLabel = "FILE", description = "Where the table goes as well.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        RegionsExperiment regions = new RegionsExperiment(members, voters, System.err);
        regions.crashes(RegionsExperiment.fitting(crashes, members), seed);
        regions.regionApart(apart, seed);
        System.out.print(regions.table());
        if (out != null) {
            Files.writeString(out, regions.table());
        }
        return 0;
    }
}
