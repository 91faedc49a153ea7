package topazladder.net.cluster;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import topazladder.config.ClusterSettings.Touch;
import topazladder.lease.LeasedTask;

/**
 * Reports to a service, at an interval, who holds a lease and under which fencing token: a line
 * {@code touch LEASE TOKEN HOLDER}. A service that keeps the highest token it has seen and refuses lower ones is safe
 * from a holder that has lost the lease and does not know it.
 */
final class TouchTask implements LeasedTask {
    /** Also the delay after which a connect that failed is tried again. */
    private static final int CONNECT_TIMEOUT_MS = 500;

    private final Vertx vertx;
    private final String leaseName;
    private final String holder;
    private final Touch settings;
    private final NetClient client;
    private Supplier<OptionalLong> permission;
    private NetSocket socket; // null while there is no connection
    private long timer = -1;
    private int generation;

    TouchTask(Vertx vertx, String leaseName, String holder, Touch settings) {
        this.vertx = vertx;
        this.leaseName = leaseName;
        this.holder = holder;
        this.settings = settings;
        client = vertx
                .createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    @Override
    public void start(long fencingToken, Supplier<OptionalLong> leasePermission, Consumer<String> onFailure) {
        permission = leasePermission;
        int started = ++generation;
        connect(started);
        timer = vertx.setPeriodic(1, Math.max(1, Math.round(settings.intervalSeconds() * 1000)), id -> touch(started));
    }

    private void connect(int started) {
        client.connect(settings.address().port(), settings.address().host()).onComplete(connected -> {
            if (started != generation) {
                connected.close();
                return;
            }
            socket = connected;
            connected.exceptionHandler(e -> connected.close());
            connected.closeHandler(v -> {
                if (started == generation) {
                    socket = null;
                    connect(started);
                }
            });
        }, e -> vertx.setTimer(CONNECT_TIMEOUT_MS, id -> {
            if (started == generation) {
                connect(started);
            }
        }));
    }

    private void touch(int started) {
        if (started != generation || socket == null || socket.writeQueueFull()) {
            return;
        }
        // The permission is asked for right before the write. Where the process is suspended between the two, the
        // lease may end first; then the service has to refuse the token.
        permission.get().ifPresent(
                token -> socket.write(Buffer.buffer("touch " + leaseName + ' ' + token + ' ' + holder + '\n')));
    }

    @Override
    public void stop(double withinSeconds, Runnable onStopped) {
        generation++;
        vertx.cancelTimer(timer);
        if (socket != null) {
            NetSocket last = socket;
            socket = null;
            last.end().onComplete(v -> onStopped.run());
        } else {
            onStopped.run();
        }
    }
}
