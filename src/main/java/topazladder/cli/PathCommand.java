package topazladder.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazladder.experiment.PathExperiment;

/** What the settings' size costs the request path of one instance. */
@Command(name = "path", mixinStandardHelpOptions = true,
        description = "One instance on loopback with many classes and tenants: start, memory and added time.")
final class PathCommand implements Callable<Integer> {
    @Option(names = "--classes", split = ",", defaultValue = "1,100,1000,5200",
            description = "Of requests, in the settings (${DEFAULT-VALUE}).")
    private List<Integer> classes;
    @Option(names = "--tenants", split = ",", defaultValue = "100,3300,33000",
            description = "In the settings (${DEFAULT-VALUE}).")
    private List<Integer> tenants;
    @Option(names = "--rate", defaultValue = "93", description = "Requests a second (${DEFAULT-VALUE}).")
    private double rate;
    @Option(names = "--seconds", defaultValue = "20", description = "Of each measurement (${DEFAULT-VALUE}).")
    private double seconds;
    @Option(names = "--heap", defaultValue = "40", description = "Of the instance, in MB (${DEFAULT-VALUE}, as run).")
    private int heapMb;
    @Option(names = "--out", paramLabel = "FILE", description = "Where the table goes as well.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        String table = PathExperiment.table(classes, tenants, rate, seconds, heapMb);
        System.out.print(table);
        if (out != null) {
            Files.writeString(out, table);
        }
        return 0;
    }
}
