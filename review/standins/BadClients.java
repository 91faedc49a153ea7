package standins;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients beside the client stubs: each opens one connection and sends 32 requests on it at once, which is what may be
 * open, and the same again when it is turned away. All carry the same fingerprint, which is far too long, and ids that
 * the runtime does not know. They read whatever they are sent.
 */
final class BadClients {
    private static final int REQUESTS = 32;

    private final Record record;
    private final int port;
    private final int count;
    private final CountDownLatch ready;
    private final AtomicLong bytesRead = new AtomicLong();
    private volatile boolean over;

    BadClients(Record record, int port, int count) {
        this.record = record;
        this.port = port;
        this.count = count;
        ready = new CountDownLatch(count);
    }

    /** Connects all, and has each send once all are connected. */
    void send(String serviceClass, int fingerprintDigits) {
        String fingerprint = Stub.hex(fingerprintDigits);
        byte[] body = new byte[2048];
        record.say(count + " other clients connect, and each sends " + REQUESTS + " requests at once");
        for (int i = 0; i < count; i++) {
            Threads.start("bad-client", () -> {
                boolean first = true;
                while (!over) {
                    try (Socket socket = new Socket("127.0.0.1", port)) {
                        if (first) {
                            first = false;
                            ready.countDown();
                            ready.await(2, TimeUnit.SECONDS);
                        }
                        socket.getOutputStream().write(requests(serviceClass, fingerprint, body));
                        readAll(socket);
                    } catch (IOException e) {
                        Thread.sleep(10); // turned away: the same again
                    }
                }
            });
        }
    }

    private void readAll(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[16_384];
        socket.setSoTimeout(500);
        for (int read = 0; read >= 0 && !over;) {
            try {
                read = in.read(buffer);
                bytesRead.addAndGet(Math.max(0, read));
            } catch (SocketTimeoutException e) {
                read = 0; // nothing came for a while
            }
        }
    }

    private static byte[] requests(String serviceClass, String fingerprint, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int stream = 1; stream <= REQUESTS; stream++) {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("service", serviceClass);
            fields.put("ref", Stub.hex(16));
            fields.put("since", String.valueOf(System.currentTimeMillis()));
            fields.put("sender", "9");
            fields.put("project", "acme");
            fields.put("room", "24.5");
            fields.put("class_rank", "0.9000");
            fields.put("replay", fingerprint);
            all.write(Frames.request(stream, fields, body));
        }
        return all.toByteArray();
    }

    /** Closes whatever is open still. */
    void end() {
        over = true;
        record.say("the other clients are gone; they were sent " + bytesRead.get() + " bytes");
    }
}
