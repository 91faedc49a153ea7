package topazladder.cli;

import io.vertx.core.json.JsonObject;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import topazladder.cli.FleetCommands.To;
import topazladder.cluster.ClusterMessage.Command.Kind;

/** Operators' commands about who is out. */
final class DrainCommands {

    private DrainCommands() {}

    @Command(name = "outs", mixinStandardHelpOptions = true,
            description = "Who is out or wants to be, and why whoever waits does so.")
    static final class Outs implements Callable<Integer> {
        @Mixin
        private To to;

        @Override
        public Integer call() throws InterruptedException {
            return to.print(to.ask(Kind.OUTS, "", ""), o -> "leader " + o.getString("leader")
                    + (o.getString("halted") == null ? "" : ", halted: " + o.getString("halted")) + "\n"
                    + FleetCommands.table(new String[] {"budget", "zone", "out", "most", "share"},
                            o.getJsonArray("budgets").stream().map(b -> (JsonObject) b)
                                    .map(b -> FleetCommands.words(b, "name", "zone", "out", "most", "share")).toList())
                    + "\n"
                    + FleetCommands.table(new String[] {"member", "zone", "why", "phase", "token", "by", "waits for"},
                            o.getJsonArray("outs").stream().map(d -> (JsonObject) d)
                                    .map(d -> FleetCommands.words(d, "name", "zone", "why", "phase", "token", "by",
                                            "waits"))
                                    .toList())
                    + below(o.getJsonObject("below")));
        }
    }

    private static String below(JsonObject looks) {
        return looks == null || looks.isEmpty() ? "" : "\n" + FleetCommands.table(new String[] {"server below",
                "found by instances"},
                looks.fieldNames().stream().map(n -> new String[] {n, looks.getString(n)}).toList());
    }

    @Command(name = "drain", mixinStandardHelpOptions = true,
            description = "Has a member go out once there is a place; it drains and ends with status 75."
                    + " With --below, a server below that nobody is to use.")
    static final class Drain extends FleetCommands.Order {
        @Parameters(paramLabel = "MEMBER")
        private String member;
        @Option(names = "--below", description = "The name is that of a server below.")
        private boolean below;

        Drain() {
            super(Kind.DRAIN);
        }

        @Override
        String text() {
            return (below ? "below " : "") + member;
        }
    }

    @Command(name = "undrain", mixinStandardHelpOptions = true,
            description = "Takes that back, as long as it has not gone; a server below is used again little by little.")
    static final class Undrain extends FleetCommands.Order {
        @Parameters(paramLabel = "MEMBER")
        private String member;
        @Option(names = "--below", description = "The name is that of a server below.")
        private boolean below;

        Undrain() {
            super(Kind.UNDRAIN);
        }

        @Override
        String text() {
            return (below ? "below " : "") + member;
        }
    }

    @Command(name = "give-up", mixinStandardHelpOptions = true,
            description = "Says that a member's place is filled, or that it will not come back.")
    static final class GiveUp extends FleetCommands.Order {
        @Parameters(paramLabel = "MEMBER")
        private String member;

        GiveUp() {
            super(Kind.GIVE_UP);
        }

        @Override
        String text() {
            return member;
        }
    }

    @Command(name = "hold-drains", mixinStandardHelpOptions = true, description = "Lets nobody more go out.")
    static final class Hold extends FleetCommands.Order {
        @Option(names = "--why", defaultValue = "", description = "Told by 'outs'.")
        private String why;

        Hold() {
            super(Kind.HOLD_DRAINS);
        }

        @Override
        String text() {
            return why;
        }
    }

    @Command(name = "go-on", mixinStandardHelpOptions = true, description = "Takes that back.")
    static final class GoOn extends FleetCommands.Order {
        GoOn() {
            super(Kind.GO_ON);
        }
    }
}
