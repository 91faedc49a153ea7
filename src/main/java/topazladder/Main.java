package topazladder;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import sun.misc.Signal;
import sun.misc.SignalHandler;
import topazladder.config.BadTerms;
import topazladder.config.ServiceTerms;
import topazladder.net.Rehearsal;
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
        // First of all: a signal that comes while the libraries load would end the process as if it had failed.
        AtomicReference<Service> service = new AtomicReference<>();
        SignalHandler leave = s -> {
            if (service.get() == null) {
                System.exit(0); // nothing was read yet
            }
            service.get().leave();
        };
        Signal.handle(new Signal("TERM"), leave);
        Signal.handle(new Signal("INT"), leave);
        // What is replaced while it is read for the first time is read again once there is who can move.
        AtomicBoolean early = new AtomicBoolean();
        Runnable reload = () -> service.get().reload(() -> ServiceTerms.read(System.getenv()));
        Signal.handle(new Signal("HUP"), s -> {
            early.set(true);
            if (service.get() != null && early.getAndSet(false)) {
                reload.run();
            }
        });
        Signal.handle(new Signal("USR1"), s -> Optional.ofNullable(service.get()).ifPresent(Service::tell));
        try {
            ServiceTerms terms = ServiceTerms.read(System.getenv());
            Rehearsal.play(terms);
            service.set(new Service(terms, System::exit));
            service.get().start();
            if (early.getAndSet(false)) {
                reload.run();
            }
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
