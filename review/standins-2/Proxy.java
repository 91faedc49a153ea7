import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A way on loopback that takes a while, and that can be cut, closed and stopped. */
final class Proxy implements AutoCloseable {
    private record Part(long at, byte[] bytes) {
    }

    private final ServerSocket server;
    private final int to;
    private volatile double delaySeconds;
    private final Set<Socket> open = new LinkedHashSet<>();
    private volatile boolean refusing;
    private volatile boolean silent;

    /** @param delaySeconds each way */
    Proxy(Lab lab, int to, double delaySeconds) throws IOException {
        this.to = to;
        this.delaySeconds = delaySeconds;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        lab.keep(this);
        daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** What comes from now on takes so long, each way. */
    void delay(double seconds) {
        delaySeconds = seconds;
    }

    /** Whether bytes go nowhere, and the connections stay open. */
    void silent(boolean is) {
        silent = is;
    }

    /** Ends all connections, and takes none while it is refusing. */
    void cut(boolean refuse) {
        refusing = refuse;
        List<Socket> all;
        synchronized (open) {
            all = List.copyOf(open);
            open.clear();
        }
        all.forEach(Proxy::end);
    }

    void comeBack() {
        refusing = false;
    }

    private static void daemon(Runnable what) {
        Thread t = new Thread(what);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        while (true) {
            Socket client;
            try {
                client = server.accept();
            } catch (IOException e) {
                return;
            }
            if (refusing) {
                end(client);
                continue;
            }
            try {
                Socket there = new Socket(InetAddress.getByName("127.0.0.1"), to);
                client.setTcpNoDelay(true);
                there.setTcpNoDelay(true);
                synchronized (open) {
                    open.add(client);
                    open.add(there);
                }
                pipe(client, there);
                pipe(there, client);
            } catch (IOException e) {
                end(client);
            }
        }
    }

    private void pipe(Socket from, Socket into) {
        Deque<Part> parts = new ArrayDeque<>();
        daemon(() -> {
            byte[] bytes = new byte[16384];
            try {
                InputStream in = from.getInputStream();
                for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                    put(parts, java.util.Arrays.copyOf(bytes, n));
                }
            } catch (IOException e) {
                // ended on either side
            }
            put(parts, new byte[0]);
        });
        daemon(() -> {
            try {
                OutputStream out = into.getOutputStream();
                while (true) {
                    Part next;
                    synchronized (parts) {
                        while (parts.isEmpty()) {
                            parts.wait();
                        }
                        next = parts.poll();
                    }
                    long wait = next.at() - System.nanoTime();
                    if (wait > 0) {
                        Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                    }
                    while (silent) {
                        Thread.sleep(5);
                    }
                    if (next.bytes().length == 0) {
                        break;
                    }
                    out.write(next.bytes());
                    out.flush();
                }
            } catch (IOException | InterruptedException e) {
                // ended on either side
            }
            end(from);
            end(into);
        });
    }

    private void put(Deque<Part> parts, byte[] bytes) {
        synchronized (parts) {
            parts.add(new Part(System.nanoTime() + Math.round(delaySeconds * 1e9), bytes));
            parts.notifyAll();
        }
    }

    private static void end(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            return;
        }
    }

    @Override
    public void close() throws IOException {
        silent = false;
        server.close();
        cut(true);
    }
}
