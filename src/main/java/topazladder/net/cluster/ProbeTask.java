package topazladder.net.cluster;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import topazladder.config.ClusterSettings.Probe;
import topazladder.config.ServiceSettings.Address;
import topazladder.lease.LeasedTask;

/** Probes on behalf of all members, at an interval, whether the dependency accepts connections. */
final class ProbeTask implements LeasedTask {
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** Receives the result of each probe. */
    interface Listener {

        void probed(boolean reachable, long fencingToken);
    }

    private final Vertx vertx;
    private final Supplier<Address> dependency;
    private final Probe settings;
    private final Listener listener;
    private final NetClient client;
    private long timer = -1;
    private int generation;

    /** @param dependency its address now, or null while there is none */
    ProbeTask(Vertx vertx, Supplier<Address> dependency, Probe settings, Listener listener) {
        this.vertx = vertx;
        this.dependency = dependency;
        this.settings = settings;
        this.listener = listener;
        client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    @Override
    public void start(long fencingToken, Supplier<OptionalLong> permission, Consumer<String> onFailure) {
        int started = ++generation;
        timer = vertx.setPeriodic(1, Math.max(1, Math.round(settings.intervalSeconds() * 1000)),
                id -> probe(started, permission));
    }

    private void probe(int started, Supplier<OptionalLong> permission) {
        Address address = dependency.get();
        if (started != generation || permission.get().isEmpty() || address == null) {
            return;
        }
        client.connect(address.port(), address.host()).onComplete(socket -> {
            socket.close();
            report(started, permission, true);
        }, e -> report(started, permission, false));
    }

    /** Reports a result, unless the lease has ended since the probe was sent. */
    private void report(int started, Supplier<OptionalLong> permission, boolean reachable) {
        if (started == generation) {
            permission.get().ifPresent(token -> listener.probed(reachable, token));
        }
    }

    @Override
    public void stop(double withinSeconds, Runnable onStopped) {
        generation++;
        vertx.cancelTimer(timer);
        onStopped.run();
    }
}
