package topazladder;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Ports on loopback for tests. */
public final class LoopbackPorts {
    private LoopbackPorts() {}

    /** Returns a port that nobody listened on a moment ago. */
    public static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
