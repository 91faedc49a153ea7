package topazladder.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ServiceSettings;
import topazladder.config.ServiceSettings.Address;

/**
 * Sends a few hundred requests through a service instance of its own before the real one listens, with stand-ins for
 * all that is around it on loopback. A Java machine that has run nothing yet takes ten times as long for a request, and
 * on part of a core its first callers would wait for that; also what a start needs is loaded once, for the archive that
 * later starts map. Nothing of it is left but compiled code.
 */
public final class WarmUp {
    /** Sent at most. */
    public static final int REQUESTS = 400;

    private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
    private static final String INSTANCE_NAME = "rehearsal";
    private static final long INSTANCE_SEED = 1;
    private static final double STOP_AFTER_SECONDS = 0.3;
    /** A late start costs more than a slow one. */
    private static final double MAX_SECONDS = 5;
    private static final long SHUTDOWN_SECONDS = 2;
    private static final int RUNTIME_BACKLOG = 8;
    private static final int DEPENDENCY_BACKLOG = 64;
    private static final int CALLER_READ_TIMEOUT_MILLIS = 1000;

    private final ServiceSettings settings;
    private final InetAddress host;
    private final long deadlineNanos = System.nanoTime() + (long) (MAX_SECONDS * 1e9);

    private WarmUp(ServiceSettings settings) throws IOException {
        this.settings = settings;
        host = InetAddress.getByName(settings.listen().host());
    }

    /** Returns the number of responses that came; a warm-up that fails costs nothing but a slow start. */
    public static int play(ServiceSettings settings) {
        WarmUpCaller caller = new WarmUpCaller(settings.terms());
        try {
            new WarmUp(settings).play(caller);
        } catch (IOException | RuntimeException e) {
            LOG.warn("warm-up failed reason=\"{}\"", e.toString());
            return 0;
        }
        return caller.responses();
    }

    private void play(WarmUpCaller caller) throws IOException {
        CountDownLatch stopped = new CountDownLatch(1);
        try (ServerSocket runtime = new ServerSocket(0, RUNTIME_BACKLOG, host);
                ServerSocket dependency = new ServerSocket(0, DEPENDENCY_BACKLOG, host)) {
            int port = freePort();
            ServiceInstance service =
                    new ServiceInstance(instanceSettings(port, runtime, dependency), status -> stopped.countDown());
            service.start();
            WarmUpStandIns.serve(runtime, WarmUpStandIns::playRuntime);
            WarmUpStandIns.serve(dependency, WarmUpStandIns::playDependency);
            try (Socket one = connect(port); Socket two = connect(port)) {
                caller.send(deadlineNanos, one, two);
            } finally {
                service.leave();
                stopped.await(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ServiceSettings instanceSettings(int port, ServerSocket runtime, ServerSocket dependency) {
        String at = settings.listen().host();
        Address dependencyAddress = new Address(at, dependency.getLocalPort());
        // Heartbeats go to the dependency's port, where no datagram is read.
        return new ServiceSettings(INSTANCE_NAME, new Address(at, port), new Address(at, runtime.getLocalPort()),
                dependencyAddress, dependencyAddress, INSTANCE_SEED, STOP_AFTER_SECONDS, settings.maxSockets(),
                settings.terms());
    }

    private int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, host)) {
            return free.getLocalPort();
        }
    }

    private Socket connect(int port) throws IOException {
        while (true) {
            try {
                Socket socket = new Socket(host, port);
                socket.setSoTimeout(CALLER_READ_TIMEOUT_MILLIS);
                socket.setTcpNoDelay(true);
                return socket;
            } catch (IOException e) {
                if (System.nanoTime() > deadlineNanos) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }
}
