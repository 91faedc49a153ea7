package topazladder.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.ClusterMessage.Command.Kind;
import topazladder.config.InvalidSettingsException;
import topazladder.config.ServiceSettings.Address;
import topazladder.net.cluster.OperatorClient;

/**
 * Operators' commands to a hall, by any of its members. Status 0 where it was done, 1 where it was not, 2 where it
 * was asked wrongly; a command that is given twice does no harm.
 */
@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Asks and tells a hall of running instances.",
        subcommands = {FleetCommands.Status.class, FleetCommands.Duties.class, FleetCommands.HandOver.class,
                FleetCommands.Halt.class, FleetCommands.Resume.class, DrainCommands.Outs.class,
                DrainCommands.Drain.class, DrainCommands.Undrain.class, DrainCommands.GiveUp.class,
                DrainCommands.Hold.class, DrainCommands.GoOn.class, ReleaseCommands.class})
public final class FleetCommands implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** One word to the hall that is done or not. */
    abstract static class Order implements Callable<Integer> {
        @Mixin
        private To to;
        private final Kind kind;

        Order(Kind kind) {
            this.kind = kind;
        }

        String duty() {
            return "";
        }

        String text() {
            return "";
        }

        @Override
        public Integer call() throws InterruptedException {
            return to.done(to.ask(kind, duty(), text()));
        }
    }

    /** Whom to ask, and how to print. */
    static final class To {
        @Option(names = "--at", required = true, paramLabel = "HOST:PORT", description = "Where a member listens.")
        private String at;
        @Option(names = "--key-file", required = true, paramLabel = "FILE", description = "The hall's key.")
        private Path key;
        @Option(names = "--json", description = "As JSON.")
        private boolean json;

        ClusterMessage.CommandResponse ask(Kind kind, String duty, String text) throws InterruptedException {
            byte[] bytes;
            try {
                bytes = Files.readAllBytes(key);
            } catch (IOException e) {
                throw new InvalidSettingsException("--key-file: the file can't be read: " + key);
            }
            int length = bytes.length;
            while (length > 0 && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
                length--;
            }
            return OperatorClient.send(Address.of("--at", at), Arrays.copyOf(bytes, length),
                    new ClusterMessage.Command(kind, duty, text));
        }

        int done(ClusterMessage.CommandResponse told) {
            System.out.println(json ? new JsonObject().put("done", told.done()).put("text", told.text()).encode()
                    : told.text());
            return told.done() ? 0 : 1;
        }

        /** Prints the object, or the table made of it. */
        int print(ClusterMessage.CommandResponse told, java.util.function.Function<JsonObject, String> table) {
            if (!told.done()) {
                return done(told);
            }
            JsonObject o = new JsonObject(told.text());
            System.out.println(json ? o.encodePrettily() : table.apply(o));
            return 0;
        }
    }

    static String[] words(JsonObject of, String... keys) {
        return Arrays.stream(keys).map(k -> word(of.getValue(k))).toArray(String[]::new);
    }

    static String table(String[] head, List<String[]> rows) {
        int[] widths = new int[head.length];
        StringBuilder out = new StringBuilder();
        for (String[] row : rows) {
            for (int i = 0; i < head.length; i++) {
                widths[i] = Math.max(Math.max(widths[i], head[i].length()), row[i].length());
            }
        }
        for (int r = -1; r < rows.size(); r++) {
            String[] row = r < 0 ? head : rows.get(r);
            for (int i = 0; i < head.length; i++) {
                out.append(row[i]).append(" ".repeat(Math.max(1, widths[i] - row[i].length() + 2)));
            }
            out.setLength(out.toString().stripTrailing().length());
            out.append(r < rows.size() - 1 ? "\n" : "");
        }
        return out.toString();
    }

    private static String word(Object value) {
        return value == null || value.toString().isEmpty() ? "-" : value.toString();
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Who is there as one member sees it, and who leads the group.")
    static final class Status implements Callable<Integer> {
        @Mixin
        private To to;

        @Override
        public Integer call() throws InterruptedException {
            return to.print(to.ask(Kind.STATUS, "", ""), o -> {
                JsonObject group = o.getJsonObject("group");
                JsonArray members = o.getJsonArray("members");
                List<String[]> rows = members.stream().map(m -> (JsonObject) m)
                        .sorted(Comparator.comparing((JsonObject m) -> m.getString("name")))
                        .map(m -> new String[] {m.getString("name"), m.getString("state"),
                                m.getBoolean("steady") ? "steady" : "-", m.getString("address")})
                        .toList();
                return o.getString("member") + " is " + o.getString("phase") + ", unwell " + o.getValue("unwell")
                        + (group == null ? ", does not vote; leader as told: " + word(o.getString("leader"))
                                : ", vote " + group.getString("vote") + ", term " + group.getValue("term") + ", leader "
                                        + word(group.getString("leader")) + ", voters " + group.getValue("voters"))
                        + "\nholds " + o.getJsonObject("holds").encode() + "\n"
                        + table(new String[] {"member", "state", "steady", "address"}, rows);
            });
        }
    }

    @Command(name = "duties", mixinStandardHelpOptions = true, description = "Each duty, with its holder and token.")
    static final class Duties implements Callable<Integer> {
        @Mixin
        private To to;

        @Override
        public Integer call() throws InterruptedException {
            return to.print(to.ask(Kind.DUTIES, "", ""), o -> "leader " + o.getString("leader") + ", term "
                    + o.getValue("term") + "\n" + table(new String[] {"duty", "holder", "token", "lease", "wanted",
                            "losses", "halted"}, o.getJsonArray("duties").stream().map(d -> (JsonObject) d)
                                    .map(d -> new String[] {d.getString("name"), word(d.getValue("holder")),
                                            word(d.getValue("token")), word(d.getValue("lease")),
                                            word(d.getValue("wanted")),
                                            word(d.getValue("losses")), word(d.getValue("halted"))})
                                    .toList()));
        }
    }

    @Command(name = "hand-over", mixinStandardHelpOptions = true,
            description = "Has a duty handed over to a member, in order.")
    static final class HandOver extends FleetCommands.Order {
        @Parameters(index = "0", paramLabel = "DUTY")
        private String duty;
        @Parameters(index = "1", paramLabel = "MEMBER")
        private String member;

        HandOver() {
            super(Kind.HAND_OVER);
        }

        @Override
        String duty() {
            return duty;
        }

        @Override
        String text() {
            return member;
        }
    }

    @Command(name = "halt", mixinStandardHelpOptions = true,
            description = "Has a duty stopped, and granted to nobody until it is resumed.")
    static final class Halt extends FleetCommands.Order {
        @Parameters(paramLabel = "DUTY")
        private String duty;
        @Option(names = "--why", defaultValue = "", description = "Told by 'duties'.")
        private String why;

        Halt() {
            super(Kind.HALT);
        }

        @Override
        String duty() {
            return duty;
        }

        @Override
        String text() {
            return why;
        }
    }

    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Lets a halted duty be granted again.")
    static final class Resume extends FleetCommands.Order {
        @Parameters(paramLabel = "DUTY")
        private String duty;

        Resume() {
            super(Kind.RESUME);
        }

        @Override
        String duty() {
            return duty;
        }
    }
}
