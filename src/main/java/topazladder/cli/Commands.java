package topazladder.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazladder.Launch;
import topazladder.config.ExtensionSettings;
import topazladder.config.ExtensionSettingsFile;
import topazladder.config.InvalidSettingsException;
import topazladder.experiment.AmqpExperiment;
import topazladder.experiment.PeerExperiment;

/** The command line: what each subcommand takes, and the status that it ends with (2 for what was asked wrongly). */
@Command(name = "topazladder", mixinStandardHelpOptions = true, version = "topazladder 0.1.0",
        description = "Decides what a server takes, runs and turns away.",
        subcommands = {Commands.Serve.class, Commands.WireHost.class, Commands.Settings.class,
                Commands.Experiment.class, FleetCommands.class, GroupCommands.class})
public final class Commands {

    public static void main(String[] args) {
        if (args.length > 0 && List.of("experiment", "fleet", "group").contains(args[0])) {
            // Hundreds of instances start and stop in one; their lines would drown the table.
            System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        }
        CommandLine line = new CommandLine(new Commands());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof InvalidSettingsException) {
                command.getErr().println(command.getCommandName() + ": " + e.getMessage());
                return 2;
            }
            throw e;
        });
        int status = args.length == 0 ? usage(line) : line.execute(args);
        if (status != SERVING) {
            System.exit(status);
        }
    }

    /** The event loop goes on; whoever ends it ends the process. */
    private static final int SERVING = -1;

    private static int usage(CommandLine line) {
        line.usage(line.getErr());
        return 2;
    }

    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Runs a service instance by the configuration that GW_CONFIG names.")
    static final class Serve implements Callable<Integer> {
        @Option(names = "--settings", paramLabel = "FILE",
                description = "Own settings, protobuf text format; without them all further parts are off.")
        private Path settings;

        @Override
        public Integer call() {
            Launch.serve(() -> settings == null ? ExtensionSettings.NONE : ExtensionSettingsFile.read(settings));
            return SERVING;
        }
    }

    @Command(name = "wirehost", mixinStandardHelpOptions = true,
            description = "Decides for many instances on the simulator's wire, on standard input and output.")
    static final class WireHost implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            Launch.wirehost();
            return 0;
        }
    }

    @Command(name = "settings", mixinStandardHelpOptions = true,
            description = "Checks a file of own settings and says what it switches on.")
    static final class Settings implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            ExtensionSettings own = ExtensionSettingsFile.read(file);
            System.out.println("core speed " + (own.coreSpeed() > 0 ? own.coreSpeed() : "unknown")
                    + (own.zone().isEmpty() ? "" : ", hall " + own.zone()));
            System.out.println(own.peering() == null ? "peering is off" : "peering with " + own.peering().peers().size()
                    + " peers, " + (own.peering().listen() == null ? "asks only" : "also gives"));
            System.out.println(own.cluster() == null ? "no hall" : "a hall with " + own.cluster().voters().size()
                    + " voters and " + own.cluster().leases().size() + " duties");
            return 0;
        }
    }

    @Command(name = "experiment", mixinStandardHelpOptions = true, subcommands = {Experiment.Peer.class,
            Experiment.Amqp.class, DutiesCommand.class, ReleasesCommand.class, BelowsCommand.class,
            SearchCommand.class, HallCommand.class, WorstCommand.class, ScaleCommand.class,
            PathCommand.class, SubsetsCommand.class, RegionsCommand.class,
            HollowMembersCommand.class},
            description = "Measures parts of the program against stand-ins, and keeps the results as tables.")
    static final class Experiment implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            return usage(spec.commandLine());
        }

        @Command(name = "peer", mixinStandardHelpOptions = true,
                description = "A cold start with and without a peer to learn from, in pairs.")
        static final class Peer implements Callable<Integer> {
            @Option(names = "--seeds", defaultValue = "100", description = "Pairs of each kind (${DEFAULT-VALUE}).")
            private int seeds;
            @Option(names = "--loopback", description = "With real processes on loopback in place of virtual time.")
            private boolean loopback;
            @Option(names = "--beside", defaultValue = "2",
                    description = "Runs beside each other on loopback (${DEFAULT-VALUE}); each takes a core.")
            private int beside;
            @Option(names = "--out", required = true, paramLabel = "FILE", description = "Where the table goes.")
            private Path out;

            @Override
            public Integer call() throws Exception {
                String table = loopback ? PeerExperiment.loopback(seeds, beside) : PeerExperiment.table(seeds);
                Files.writeString(out, table);
                System.out.print(table);
                return 0;
            }
        }

        @Command(name = "amqp", mixinStandardHelpOptions = true,
                description = "Deliveries: audited fault schedules, cost beside callers, recovery, mixed load.")
        static final class Amqp implements Callable<Integer> {
            @Option(names = "--schedules", defaultValue = "600",
                    description = "Schedules of faults (${DEFAULT-VALUE}).")
            private int schedules;
            @Option(names = "--seeds", defaultValue = "60", description = "Pairs of the mixed load (${DEFAULT-VALUE}).")
            private int seeds;
            @Option(names = "--tickets", defaultValue = "200000",
                    description = "Tickets of the cost (${DEFAULT-VALUE}).")
            private int requests;
            @Option(names = "--out", required = true, paramLabel = "FILE", description = "Where the tables go.")
            private Path out;

            @Override
            public Integer call() throws Exception {
                String tables = "# Deliveries, measured\n\n" + AmqpExperiment.schedules(schedules)
                        + AmqpExperiment.recovery()
                        + AmqpExperiment.mixed(seeds) + (requests > 0 ? AmqpExperiment.cost(requests) : "");
                Files.writeString(out, tables);
                System.out.print(tables);
                return 0;
            }
        }
    }
}
