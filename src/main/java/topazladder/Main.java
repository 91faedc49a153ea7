package topazladder;

import java.io.IOException;
import topazladder.wire.MalformedWire;
import topazladder.wire.WireHost;

/** Entry point: picks the subcommand. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: topazladder wirehost");
            System.exit(2);
        }
        try {
            new WireHost(System.in, System.out).run();
        } catch (MalformedWire e) {
            System.err.println("wirehost: " + e.getMessage());
            System.exit(1);
        }
    }
}
