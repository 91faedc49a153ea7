package standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A network path on loopback. While it is cut it keeps back what either side sends, in order, and delivers it once the
 * path is whole again, as TCP does. No connection ends by a cut.
 */
final class Proxy implements AutoCloseable {
    private final ServerSocket server;
    private final int target;
    private volatile boolean cut;

    Proxy(int port, int target) throws IOException {
        this.target = target;
        server = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("proxy", this::accept);
    }

    void cut(boolean now) {
        cut = now;
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = server.accept();
            Threads.start("proxy-dial", () -> {
                while (cut) {
                    Thread.sleep(5); // a handshake does not get through either
                }
                Socket far = new Socket("127.0.0.1", target);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                new Way(near, far).start();
                new Way(far, near).start();
            });
        }
    }

    private final class Way {
        private final Socket from;
        private final Socket to;
        private final Deque<byte[]> kept = new ArrayDeque<>();
        private boolean ended;

        Way(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        void start() {
            Threads.start("proxy-read", this::read);
            Threads.start("proxy-write", this::write);
        }

        private void read() {
            try {
                InputStream in = from.getInputStream();
                byte[] buffer = new byte[16_384];
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    synchronized (kept) {
                        kept.add(java.util.Arrays.copyOf(buffer, count));
                        kept.notifyAll();
                    }
                }
            } catch (IOException e) {
                // A reset ends this way like an orderly end.
            }
            synchronized (kept) {
                ended = true;
                kept.notifyAll();
            }
        }

        private void write() throws InterruptedException {
            try {
                OutputStream out = to.getOutputStream();
                while (true) {
                    byte[] next;
                    synchronized (kept) {
                        while (cut || kept.isEmpty() && !ended) {
                            kept.wait(5);
                        }
                        next = kept.poll();
                    }
                    if (next == null) {
                        to.shutdownOutput();
                        return;
                    }
                    out.write(next);
                }
            } catch (IOException e) {
                try {
                    from.close();
                } catch (IOException closing) {
                    return;
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
