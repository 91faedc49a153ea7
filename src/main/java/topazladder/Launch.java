package topazladder;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;
import topazladder.config.ExtensionSettings;
import topazladder.config.InvalidSettingsException;
import topazladder.config.ServiceSettings;
import topazladder.net.ServiceInstance;
import topazladder.net.WarmUp;
import topazladder.wire.MalformedWireException;
import topazladder.wire.SimulatorHost;

/** Starts a service instance with its signals, or the simulator's wire. */
public final class Launch {
    private static final Logger LOG = LoggerFactory.getLogger(Launch.class);

    private Launch() {}

    /**
     * Returns while the event loop goes on; the instance ends the process.
     *
     * @param settings read at the start and at each reload
     */
    public static void serve(Supplier<ExtensionSettings> settings) {
        // First of all: a signal that comes while the libraries load would end the process as if it had failed.
        AtomicReference<ServiceInstance> service = new AtomicReference<>();
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
        Runnable reload = () -> {
            service.get().reload(() -> ServiceSettings.read(System.getenv()));
            service.get().reloadOwn(settings);
        };
        SignalHandler before = Signal.handle(new Signal("HUP"), s -> {
            early.set(true);
            if (service.get() != null && early.getAndSet(false)) {
                reload.run();
            }
        });
        if (before == SignalHandler.SIG_IGN) {
            // The Java machine keeps to that, as nohup means it to; a reload would go by without a word.
            LOG.warn("SIGHUP is ignored, as by nohup: the configuration can't be read anew while this process runs");
        }
        Signal.handle(new Signal("USR1"), s -> Optional.ofNullable(service.get()).ifPresent(ServiceInstance::tell));
        try {
            ServiceSettings terms = ServiceSettings.read(System.getenv());
            ExtensionSettings own = settings.get();
            WarmUp.play(terms);
            service.set(new ServiceInstance(terms, own, System::exit));
            service.get().start();
            if (early.getAndSet(false)) {
                reload.run();
            }
        } catch (InvalidSettingsException e) {
            System.err.println("serve: " + e.getMessage());
            System.exit(2);
        }
    }

    public static void wirehost() throws IOException {
        try {
            new SimulatorHost(System.in, System.out).run();
        } catch (MalformedWireException | InvalidSettingsException e) {
            System.err.println("wirehost: " + e.getMessage());
            System.exit(1);
        }
    }
}
