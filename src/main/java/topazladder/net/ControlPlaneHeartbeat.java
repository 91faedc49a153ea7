package topazladder.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import topazladder.config.ServiceSettings.Address;
import topazladder.service.InstanceLifecycle;

/** Sends heartbeats to the control plane, one UDP datagram each, which are not acknowledged. */
final class ControlPlaneHeartbeat {
    /**
     * Twelve heartbeats in the time after which an instance is taken off the list. At three, a quarter of them lost,
     * one time in sixty-four had none, which is every few minutes.
     */
    private static final long PERIOD_MILLIS = 250;
    private static final long NO_TIMER = -1;

    private final Vertx vertx;
    private final String instanceName;
    private final DatagramSocket socket;
    private Address address;
    private long timer = NO_TIMER;

    ControlPlaneHeartbeat(Vertx vertx, Address address, String instanceName) {
        this.vertx = vertx;
        this.address = address;
        this.instanceName = instanceName;
        socket = vertx.createDatagramSocket();
    }

    void start(InstanceLifecycle instance) {
        send(instance);
        timer = vertx.setPeriodic(PERIOD_MILLIS, id -> send(instance));
    }

    /** Sends no more: a heartbeat while the event loop ends would be an error there. */
    void stop() {
        vertx.cancelTimer(timer);
    }

    void moveTo(Address newAddress) {
        address = newAddress;
    }

    private void send(InstanceLifecycle instance) {
        String readiness = instance.isReady() ? " Ready" : " NotReady";
        socket.send(Buffer.buffer("lease " + instanceName + readiness), address.port(), address.host());
    }
}
