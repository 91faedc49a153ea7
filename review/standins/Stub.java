package standins;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A client stub: up to 32 requests open on a connection, no new request on one after type 48, type 18 for a request
 * that it stops waiting for. All methods but the reader's are called on one thread.
 */
final class Stub {
    private static final int MOST_OPEN = 32;

    /** What one request carries. */
    record Request(String serviceClass, String project, String replay, boolean dup, String rank, byte[] body) {
    }

    private final class Connection {
        final Socket socket;
        final Map<Long, Requests.Sent> open = new HashMap<>();
        long lastStream;
        boolean noNewRequest;
        boolean ended;

        Connection() throws IOException {
            socket = new Socket("127.0.0.1", port);
            socket.setTcpNoDelay(true);
            Threads.start("stub-read", this::read);
        }

        private void read() {
            try {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                while (true) {
                    take(Frames.read(in));
                }
            } catch (IOException e) {
                ended(e.getClass().getSimpleName());
            }
        }

        private void take(Frames.Frame frame) throws IOException {
            synchronized (Stub.this) {
                if (frame.type() == Frames.NO_NEW_REQUEST) {
                    noNewRequest = true;
                    record.add(name, "is told to send no new request on its connection");
                } else if (frame.type() == Frames.ANSWER && frame.stream() == 0) {
                    record.add(name, "is told of an error of its connection: " + new String(frame.body()));
                } else if (frame.type() == Frames.ANSWER) {
                    Requests.Sent sent = open.remove(frame.stream());
                    if (sent != null) {
                        sent.answers++;
                        sent.answer = frame.body();
                        sent.answeredAt = Record.now();
                        sent.code = frame.code();
                        record.add(name, "answered " + sent.id + " code " + frame.code());
                    }
                }
                if (noNewRequest && open.isEmpty()) {
                    socket.close();
                }
            }
        }

        private void ended(String how) {
            synchronized (Stub.this) {
                ended = true;
                double now = Record.now();
                for (Requests.Sent sent : open.values()) {
                    sent.connectionEndedAt = now;
                    record.add(name, "connection ended without an answer to " + sent.id);
                }
                record.add(name, "connection ended: " + how + ", " + open.size() + " requests open on it");
                open.clear();
                try {
                    socket.close();
                } catch (IOException e) {
                    return;
                }
            }
        }
    }

    private final Record record;
    private final Requests requests;
    private final int number;
    private final String name;
    private final int port;
    private final java.util.List<Connection> connections = new java.util.ArrayList<>();
    private Connection connection; // for the next request

    Stub(Record record, Requests requests, int number, int port) {
        this.record = record;
        this.requests = requests;
        this.number = number;
        this.port = port;
        name = "stub-" + number;
    }

    static String hex(int digits) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < digits; i++) {
            text.append(Character.forDigit(ThreadLocalRandom.current().nextInt(16), 16));
        }
        return text.toString();
    }

    /** Whether a health check is answered as good. */
    static boolean isHealthy(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(Frames.check(1));
            Frames.Frame frame = Frames.read(new DataInputStream(socket.getInputStream()));
            return frame.type() == Frames.CHECKED && frame.code() == 0;
        } catch (IOException e) {
            return false;
        }
    }

    static void awaitHealthy(int port, double seconds) throws Exception {
        double until = Record.now() + seconds;
        while (!isHealthy(port)) {
            if (Record.now() > until) {
                throw new CannotRun("no instance answers a health check at port " + port);
            }
            Thread.sleep(50);
        }
    }

    /** Sends a request; null if none may be sent now, as all that may be open is open. */
    synchronized Requests.Sent send(Request request, double deadlineSeconds) throws IOException {
        if (connection == null || connection.ended || connection.noNewRequest) {
            connection = new Connection();
            connections.add(connection);
        }
        if (connection.open.size() >= MOST_OPEN) {
            return null;
        }
        long stream = ++connection.lastStream;
        long since = System.currentTimeMillis();
        Requests.Sent sent = new Requests.Sent(hex(16), request.serviceClass(), request.replay(), request.body(),
                since, number, Record.now() + deadlineSeconds);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("service", request.serviceClass());
        fields.put("ref", sent.id);
        fields.put("since", String.valueOf(since));
        fields.put("sender", String.valueOf(number));
        if (request.project() != null) {
            fields.put("project", request.project());
        }
        if (request.dup()) {
            fields.put("dup", "1");
        }
        fields.put("room", "24.5");
        fields.put("class_rank", request.rank());
        if (request.replay() != null) {
            fields.put("replay", request.replay());
        }
        requests.add(sent);
        connection.open.put(stream, sent);
        try {
            connection.socket.getOutputStream().write(Frames.request(stream, fields, request.body()));
        } catch (IOException e) {
            connection.open.remove(stream);
            connection.ended = true;
            requests.all().remove(sent.id);
            return null; // not written to a connection that lives: it counts as not sent
        }
        sent.writtenAt = Record.now();
        record.add(name, "sent " + sent.id + " " + request.serviceClass()
                + (request.replay() == null ? "" : " replay " + request.replay()));
        return sent;
    }

    /** Stops waiting for whatever is past its time. */
    synchronized void giveUpWhatIsDue(double slackSeconds) throws IOException {
        connections.removeIf(each -> each.ended && each.open.isEmpty());
        for (Connection each : connections) {
            giveUpWhatIsDue(each, Record.now() - slackSeconds);
        }
    }

    private void giveUpWhatIsDue(Connection from, double dueBefore) throws IOException {
        for (Map.Entry<Long, Requests.Sent> each : Map.copyOf(from.open).entrySet()) {
            if (each.getValue().dueAt < dueBefore && !from.ended) {
                each.getValue().gaveUpAt = Record.now();
                from.open.remove(each.getKey());
                record.add(name, "stops waiting for " + each.getValue().id);
                try {
                    from.socket.getOutputStream().write(Frames.giveUp(each.getKey()));
                } catch (IOException e) {
                    record.add(name, "could not say so: " + e.getMessage());
                }
            }
        }
    }
}
