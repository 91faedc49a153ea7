package topazladder;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
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

/** Starts a service instance with its signal handlers, or the simulator's wire protocol. */
public final class Launch {
    private static final Logger LOG = LoggerFactory.getLogger(Launch.class);
    private static final int INVALID_SETTINGS_STATUS = 2;

    private final Supplier<ExtensionSettings> extensions;
    private final AtomicBoolean reloadPending = new AtomicBoolean();
    /** Null until the instance was built; read by the signals' threads. */
    private volatile ServiceInstance service;

    private Launch(Supplier<ExtensionSettings> extensions) {
        this.extensions = extensions;
    }

    /**
     * Starts a service instance by {@code GW_CONFIG}, and returns while its event loop goes on; the instance ends the
     * process. Invalid settings end the process with status 2 and one line on standard error.
     *
     * @param extensions read at the start and at each reload
     */
    public static void serve(Supplier<ExtensionSettings> extensions) {
        Launch launch = new Launch(extensions);
        // First of all: a signal that comes while the libraries load would end the process as if it had failed.
        launch.handleSignals();
        try {
            launch.startService();
        } catch (InvalidSettingsException e) {
            System.err.println("serve: " + e.getMessage());
            System.exit(INVALID_SETTINGS_STATUS);
        }
    }

    private void startService() {
        ServiceSettings settings = ServiceSettings.read(System.getenv());
        ExtensionSettings extensionSettings = extensions.get();
        WarmUp.play(settings);
        service = new ServiceInstance(settings, extensionSettings, System::exit);
        service.start();
        reloadIfPending();
    }

    private void handleSignals() {
        Signal.handle(new Signal("TERM"), signal -> shutdown());
        Signal.handle(new Signal("INT"), signal -> shutdown());
        SignalHandler before = Signal.handle(new Signal("HUP"), signal -> {
            reloadPending.set(true);
            reloadIfPending();
        });
        if (before == SignalHandler.SIG_IGN) {
            // The Java machine keeps to that, as nohup means it to; a reload would go by without a word.
            LOG.warn("SIGHUP is ignored, as by nohup: the configuration can't be read anew while this process runs");
        }
        Signal.handle(new Signal("USR1"), signal -> {
            if (service != null) {
                service.tell();
            }
        });
    }

    private void shutdown() {
        if (service == null) {
            System.exit(0); // no request was received yet
        }
        service.leave();
    }

    /** Settings that were replaced while they were read for the first time are read again once the instance runs. */
    private void reloadIfPending() {
        if (service != null && reloadPending.getAndSet(false)) {
            service.reload(() -> ServiceSettings.read(System.getenv()));
            service.reloadOwn(extensions);
        }
    }

    /**
     * Serves the simulator's wire protocol on standard input and output until the input ends. Malformed input ends the
     * process with status 1 and one line on standard error.
     */
    public static void wirehost() throws IOException {
        try {
            new SimulatorHost(System.in, System.out).run();
        } catch (MalformedWireException | InvalidSettingsException e) {
            System.err.println("wirehost: " + e.getMessage());
            System.exit(1);
        }
    }
}
