package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import topazladder.config.ServiceSettings.Address;
import topazladder.service.InstanceLifecycle;

/** Reports to the control plane that the instance lives; no answer comes, so that none is waited for. */
final class ControlPlane {
    /**
     * Twelve reports in the time after which an instance is taken off the list. At three, a quarter of them lost,
     * one time in sixty-four had none, which is every few minutes.
     */
    private static final long PERIOD_MS = 250;

    private final Vertx vertx;
    private final String name;
    private final DatagramSocket socket;
    private Address address;
    private long timer = -1;

    ControlPlane(Vertx vertx, Address address, String name) {
        this.vertx = vertx;
        this.address = address;
        this.name = name;
        socket = vertx.createDatagramSocket();
    }

    void open(InstanceLifecycle instance) {
        report(instance);
        timer = vertx.setPeriodic(PERIOD_MS, id -> report(instance));
    }

    /** Reports no more: one that comes while the event loop ends would be a fault there. */
    void close() {
        vertx.cancelTimer(timer);
    }

    void move(Address to) {
        address = to;
    }

    private void report(InstanceLifecycle instance) {
        socket.send(Buffer.buffer("lease " + name + (instance.isReady() ? " Ready" : " NotReady")),
                address.port(), address.host());
    }
}
