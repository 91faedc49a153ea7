package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import topazladder.config.ServiceTerms.Address;
import topazladder.service.Instance;

/** Reports to the control plane that the instance lives; no answer comes, so that none is waited for. */
final class ControlPlane {
    /** A third of the time after which an instance is taken off the list: one lost report costs nothing. */
    private static final long PERIOD_MS = 1000;

    private final Vertx vertx;
    private final Address address;
    private final String name;
    private final DatagramSocket socket;

    ControlPlane(Vertx vertx, Address address, String name) {
        this.vertx = vertx;
        this.address = address;
        this.name = name;
        socket = vertx.createDatagramSocket();
    }

    void open(Instance instance) {
        report(instance);
        vertx.setPeriodic(PERIOD_MS, id -> report(instance));
    }

    private void report(Instance instance) {
        socket.send(Buffer.buffer("lease " + name + (instance.ready() ? " Ready" : " NotReady")),
                address.port(), address.host());
    }
}
