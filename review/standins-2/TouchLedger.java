import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A service that is told who holds a duty, by lines "touch DUTY TOKEN HOLDER"; it notes when each came. */
final class TouchLedger implements AutoCloseable {
    record Touch(double at, String duty, long token, String holder) {
    }

    private final ServerSocket server;
    private final List<Touch> touches = new ArrayList<>();

    TouchLedger(Lab lab) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        lab.keep(this);
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket s = server.accept();
                    Thread reader = new Thread(() -> {
                        try (BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream()))) {
                            for (String line = in.readLine(); line != null; line = in.readLine()) {
                                String[] w = line.split(" ");
                                synchronized (touches) {
                                    touches.add(new Touch(lab.now(), w[1], Long.parseLong(w[2]), w[3]));
                                }
                            }
                        } catch (IOException e) {
                            return;
                        }
                    });
                    reader.setDaemon(true);
                    reader.start();
                }
            } catch (IOException e) {
                return;
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    List<Touch> touches() {
        synchronized (touches) {
            return List.copyOf(touches);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
