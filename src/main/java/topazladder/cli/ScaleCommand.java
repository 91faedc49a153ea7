package topazladder.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazladder.config.InvalidSettingsException;
import topazladder.experiment.ScaleExperiment;
import topazladder.rig.ScaleSettings;

/** What a cluster costs each role as it grows, on loopback. */
@Command(name = "scale", mixinStandardHelpOptions = true,
        description = "Clusters of growing size on loopback, hollow members beside real processes: bytes, messages, "
                + "processor time and memory by role, with fitted lines.")
final class ScaleCommand implements Callable<Integer> {
    private static final int COMPARED = 10;

    @Option(names = "--sizes", split = ",", defaultValue = "50,100,200,400,800,1500",
            description = "Members in all (${DEFAULT-VALUE}).")
    private List<Integer> sizes;
    @Option(names = "--held-back", defaultValue = "400",
            description = "The size that is not fitted, and predicted (${DEFAULT-VALUE}).")
    private int heldBack;
    @Option(names = "--target", defaultValue = "1500", description = "Members to work out (${DEFAULT-VALUE}).")
    private int target;
    @Option(names = "--real", defaultValue = "8",
            description = "Service instances under load, a process each (${DEFAULT-VALUE}).")
    private int real;
    @Option(names = "--voters", defaultValue = "3", description = "A process each (${DEFAULT-VALUE}).")
    private int voters;
    @Option(names = "--leases", defaultValue = "50", description = "Held by one member each (${DEFAULT-VALUE}).")
    private int leases;
    @Option(names = "--changes", defaultValue = "1",
            description = "Restarts of members a minute (${DEFAULT-VALUE}, the rate of 1,442 a day).")
    private double changes;
    @Option(names = "--settle", defaultValue = "25", description = "Seconds before a measurement (${DEFAULT-VALUE}).")
    private double settle;
    @Option(names = "--seconds", defaultValue = "30", description = "Of a measurement (${DEFAULT-VALUE}).")
    private double seconds;
    @Option(names = "--each", defaultValue = "250",
            description = "Hollow members in a process at the most (${DEFAULT-VALUE}).")
    private int each;
    @Option(names = "--load", defaultValue = "0.3", description = "Of the real instances' cores (${DEFAULT-VALUE}).")
    private double load;
    @Option(names = "--seed", defaultValue = "1", description = "Of chance (${DEFAULT-VALUE}).")
    private long seed;
    @Option(names = "--at", defaultValue = "200",
            description = "The size of the tables by leases, voters and changes, and of crashes (${DEFAULT-VALUE}).")
    private int at;
    @Option(names = "--parts", split = ",", defaultValue = "compare,sizes,others,failures",
            description = "Any of compare, sizes, others and failures (${DEFAULT-VALUE}).")
    private List<String> parts;
    @Option(names = "--quick", description = "Small sizes and short windows: under three minutes.")
    private boolean quick;
    @Option(names = "--folder", defaultValue = "target/scale", description = "Results, report and charts; a run that"
            + " was stopped goes on from there (${DEFAULT-VALUE}).")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        if (quick) {
            sizes = List.of(20, 40, 80);
            heldBack = 40;
            settle = 5;
            seconds = 8;
            real = 2;
            at = 40;
            parts = List.of("sizes");
        }
        if (sizes.stream().anyMatch(s -> s < real + voters + 1)) {
            throw new InvalidSettingsException(
                    "--sizes should be over " + (real + voters) + ", the real processes alone");
        }
        ScaleSettings base = new ScaleSettings(0, real, voters, leases, changes, settle, seconds, each, load, seed);
        ScaleExperiment scale = new ScaleExperiment(folder, System.err);
        ScaleSettings one = base.withHollow(at - real - voters);
        for (String part : parts) {
            switch (part) {
                case "compare" -> scale.compare(base, COMPARED);
                case "sizes" -> scale.sizes(base, sizes, heldBack, target);
                case "others" -> scale.others(one, List.of(10, leases, 200), List.of(3, 5, 7),
                        List.of(changes, 50 * changes));
                case "failures" -> scale.failures(one, List.of(1, at / 12));
                default -> throw new InvalidSettingsException(
                        "--parts knows compare, sizes, others and failures, not " + part);
            }
            scale.report();
        }
        System.out.print(scale.report());
        return 0;
    }
}
