package topazladder;

import java.io.IOException;
import sun.misc.Signal;
import topazladder.config.BadTerms;
import topazladder.config.ServiceTerms;
import topazladder.net.Service;
import topazladder.wire.MalformedWire;
import topazladder.wire.WireHost;

/** Entry point: picks the subcommand. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve();
            case "wirehost" -> wirehost();
            default -> {
                System.err.println("usage: topazladder serve | wirehost");
                System.exit(2);
            }
        }
    }

    /** Returns while the event loop goes on; the instance ends the process. */
    private static void serve() {
        try {
            Service service = new Service(ServiceTerms.read(System.getenv()), System::exit);
            Signal.handle(new Signal("TERM"), s -> service.leave());
            Signal.handle(new Signal("INT"), s -> service.leave());
            Signal.handle(new Signal("HUP"), s -> service.tell());
            service.start();
        } catch (BadTerms e) {
            System.err.println("serve: " + e.getMessage());
            System.exit(2);
        }
    }

    private static void wirehost() throws IOException {
        try {
            new WireHost(System.in, System.out).run();
        } catch (MalformedWire | BadTerms e) {
            System.err.println("wirehost: " + e.getMessage());
            System.exit(1);
        }
    }
}
