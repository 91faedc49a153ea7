package topazladder.cli;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazladder.cli.FleetCommands.To;
import topazladder.cluster.ClusterMessage.Command.Kind;
import topazladder.config.InvalidSettingsException;
import topazladder.config.RolloutPlanFile;
import topazladder.rollout.RolloutPlan;

/** Operators' commands about releases. */
@Command(name = "release", mixinStandardHelpOptions = true, description = "Takes a hall from one version to another.",
        subcommands = {ReleaseCommands.Check.class, ReleaseCommands.Start.class, ReleaseCommands.Status.class,
                ReleaseCommands.Halt.class, ReleaseCommands.Resume.class, ReleaseCommands.Back.class})
final class ReleaseCommands implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    private static String read(Path plan) {
        try {
            return Files.readString(plan);
        } catch (IOException e) {
            throw new InvalidSettingsException("the plan can't be read: " + plan);
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Reads a plan, and asks no instance.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "PLAN")
        private Path plan;

        @Override
        public Integer call() {
            RolloutPlan p = RolloutPlanFile.of(read(plan));
            System.out.println(p.name() + ": " + p.from() + " to " + p.to() + " in " + p.waves().size()
                    + " waves and the rest" + (p.oneWay() ? ", with no way back" : ""));
            return 0;
        }
    }

    @Command(name = "start", mixinStandardHelpOptions = true, description = "Begins; what is wrong is said before.")
    static final class Start extends FleetCommands.Order {
        @Parameters(paramLabel = "PLAN")
        private Path plan;

        Start() {
            super(Kind.RELEASE_START);
        }

        @Override
        String text() {
            String all = read(plan);
            RolloutPlanFile.of(all);
            return all;
        }
    }

    @Command(name = "halt", mixinStandardHelpOptions = true, description = "Lets nobody more go for the release.")
    static final class Halt extends FleetCommands.Order {
        @Option(names = "--why", defaultValue = "", description = "Told by 'status'.")
        private String why;

        Halt() {
            super(Kind.RELEASE_HALT);
        }

        @Override
        String text() {
            return why;
        }
    }

    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Takes a halt back.")
    static final class Resume extends FleetCommands.Order {
        Resume() {
            super(Kind.RELEASE_RESUME);
        }
    }

    @Command(name = "back", mixinStandardHelpOptions = true,
            description = "Takes the hall back to the version that it was, under the same budgets.")
    static final class Back extends FleetCommands.Order {
        Back() {
            super(Kind.RELEASE_BACK);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "How far it is, and why each place waits.")
    static final class Status implements Callable<Integer> {
        private static final long EVERY_MS = 1000;

        @Mixin
        private To to;
        @Option(names = "--history", description = "All that was done, with times by whoever proposed it.")
        private boolean history;
        @Option(names = "--watch", description = "Again every second until it is halted or done.")
        private boolean watch;

        @Override
        public Integer call() throws InterruptedException {
            String[] phase = new String[1];
            int status;
            do {
                status = to.print(to.ask(Kind.RELEASE_STATUS, "", ""), o -> {
                    phase[0] = o.getString("phase");
                    return words(o);
                });
                if (watch && "RUNNING".equals(phase[0])) {
                    Thread.sleep(EVERY_MS);
                }
            } while (watch && status == 0 && "RUNNING".equals(phase[0]));
            return status;
        }

        private String words(JsonObject o) {
            if (o.getString("phase").equals("NONE")) {
                return "there was no release";
            }
            StringBuilder out = new StringBuilder(o.getString("name") + ": " + o.getString("from") + " to "
                    + o.getString("to") + (o.getBoolean("back") ? ", on its way back" : "") + ", "
                    + o.getString("phase")
                    + (o.getString("why").isEmpty() ? "" : " (" + o.getString("why") + ")") + ", wave "
                    + o.getInteger("wave") + "; " + o.getString("doing") + "\n");
            out.append(FleetCommands.table(new String[] {"member", "zone", "wave", "stage", "runs", "times",
                    "waits for"},
                    o.getJsonArray("places").stream().map(p -> FleetCommands.words((JsonObject) p, "name", "zone",
                            "wave",
                            "stage", "runs", "attempt", "waits")).toList()));
            if (history) {
                List<String[]> rows = new ArrayList<>();
                o.getJsonArray("history").forEach(e -> rows.add(new String[] {
                        Instant.ofEpochMilli(((JsonObject) e).getLong("at")).toString(),
                        ((JsonObject) e).getString("what")}));
                out.append("\n").append(FleetCommands.table(new String[] {"at", "what"}, rows));
            }
            return out.toString();
        }
    }
}
