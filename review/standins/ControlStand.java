package standins;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;

/** The control plane: reads the reports, which get no answer. */
final class ControlStand implements AutoCloseable {
    private final DatagramSocket socket;

    ControlStand(int port) throws IOException {
        socket = new DatagramSocket(port, InetAddress.getByName("127.0.0.1"));
        Threads.start("control", () -> {
            byte[] buffer = new byte[512];
            while (true) {
                socket.receive(new DatagramPacket(buffer, buffer.length));
            }
        });
    }

    @Override
    public void close() {
        socket.close();
    }
}
