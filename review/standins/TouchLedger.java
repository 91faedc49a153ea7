package standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** The service that duties touch: keeps each touch of one duty in the order in which it came, and refuses none. */
final class TouchLedger implements AutoCloseable {
    record Touch(double at, long token, String holder) {
        String member() {
            return holder.substring(0, holder.indexOf('#'));
        }
    }

    private final Record record;
    private final String duty;
    private final ServerSocket server;
    private final List<Touch> touches = new ArrayList<>();

    TouchLedger(Record record, int port, String duty) throws IOException {
        this.record = record;
        this.duty = duty;
        server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        Threads.start("ledger", () -> {
            while (true) {
                Socket from = server.accept();
                Threads.start("ledger-read", () -> read(from));
            }
        });
    }

    private void read(Socket from) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(from.getInputStream()));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] words = line.split(" ");
            if (words[1].equals(duty)) {
                synchronized (touches) {
                    touches.add(new Touch(Record.now(), Long.parseLong(words[2]), words[3]));
                }
            }
            record.add("ledger", line);
        }
    }

    List<Touch> touches() {
        synchronized (touches) {
            return List.copyOf(touches);
        }
    }

    /** The member that touched last, or null. */
    String lastMember() {
        List<Touch> all = touches();
        return all.isEmpty() ? null : all.get(all.size() - 1).member();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
