package topazladder.net.hall;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import topazladder.config.ClusterSettings.Probe;
import topazladder.config.ServiceSettings.Address;
import topazladder.lease.LeasedTask;

/** Looks every so often whether the service below can be reached, for all members, and says what it found. */
final class ProbeWork implements LeasedTask {
    private static final int CONNECT_MS = 500;

    /** Whoever tells the others. */
    interface Finder {

        void found(boolean well, long token);
    }

    private final Vertx vertx;
    private final Supplier<Address> service;
    private final Probe terms;
    private final Finder finder;
    private final NetClient client;
    private long timer = -1;
    private int generation;

    ProbeWork(Vertx vertx, Supplier<Address> service, Probe terms, Finder finder) {
        this.vertx = vertx;
        this.service = service;
        this.terms = terms;
        this.finder = finder;
        client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_MS));
    }

    @Override
    public void start(long token, Supplier<OptionalLong> leave, Consumer<String> failed) {
        int mine = ++generation;
        timer = vertx.setPeriodic(1, Math.max(1, Math.round(terms.intervalSeconds() * 1000)), id -> probe(mine, leave));
    }

    private void probe(int mine, Supplier<OptionalLong> leave) {
        Address at = service.get();
        if (mine != generation || leave.get().isEmpty() || at == null) {
            return;
        }
        client.connect(at.port(), at.host()).onComplete(s -> {
            s.close();
            say(mine, leave, true);
        }, e -> say(mine, leave, false));
    }

    private void say(int mine, Supplier<OptionalLong> leave, boolean well) {
        if (mine == generation) {
            leave.get().ifPresent(token -> finder.found(well, token));
        }
    }

    @Override
    public void stop(double within, Runnable done) {
        generation++;
        vertx.cancelTimer(timer);
        done.run();
    }
}
