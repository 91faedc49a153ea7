package topazladder.net.hall;

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
 * Tells a service every so often who holds a duty and under which token: a line {@code touch DUTY TOKEN HOLDER}. A
 * service that keeps the highest token it has seen, and refuses a lower one, is fenced against a holder that has lost
 * the duty and does not know.
 */
final class TouchWork implements LeasedTask {
    private static final int CONNECT_MS = 500;

    private final Vertx vertx;
    private final String duty;
    private final String holder;
    private final Touch terms;
    private final NetClient client;
    private Supplier<OptionalLong> leave;
    private NetSocket socket;
    private long timer = -1;
    private int generation;

    TouchWork(Vertx vertx, String duty, String holder, Touch terms) {
        this.vertx = vertx;
        this.duty = duty;
        this.holder = holder;
        this.terms = terms;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_MS));
    }

    @Override
    public void start(long token, Supplier<OptionalLong> mayGoOn, Consumer<String> failed) {
        leave = mayGoOn;
        int mine = ++generation;
        connect(mine);
        timer = vertx.setPeriodic(1, Math.max(1, Math.round(terms.intervalSeconds() * 1000)), id -> touch(mine));
    }

    private void connect(int mine) {
        client.connect(terms.address().port(), terms.address().host()).onComplete(s -> {
            if (mine != generation) {
                s.close();
                return;
            }
            socket = s;
            s.exceptionHandler(e -> s.close());
            s.closeHandler(v -> {
                if (mine == generation) {
                    socket = null;
                    connect(mine);
                }
            });
        }, e -> vertx.setTimer(CONNECT_MS, id -> {
            if (mine == generation) {
                connect(mine);
            }
        }));
    }

    private void touch(int mine) {
        if (mine != generation || socket == null || socket.writeQueueFull()) {
            return;
        }
        // Nothing waits between the look and the write; what the machine does between them the token is for.
        leave.get()
                .ifPresent(token -> socket.write(Buffer.buffer("touch " + duty + ' ' + token + ' ' + holder + '\n')));
    }

    @Override
    public void stop(double within, Runnable done) {
        generation++;
        vertx.cancelTimer(timer);
        if (socket != null) {
            NetSocket last = socket;
            socket = null;
            last.end().onComplete(v -> done.run());
        } else {
            done.run();
        }
    }
}
