package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** The index: answers each call well, after a few milliseconds. */
final class IndexStand implements AutoCloseable {
    private final ServerSocket server;
    private final Record record;
    private final int fromMillis;
    private final int toMillis;

    IndexStand(Record record, int port, int fromMillis, int toMillis) throws IOException {
        this.record = record;
        this.fromMillis = fromMillis;
        this.toMillis = toMillis;
        server = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("index", () -> {
            while (true) {
                Socket caller = server.accept();
                caller.setTcpNoDelay(true);
                Threads.start("index-calls", () -> serve(caller));
            }
        });
    }

    /** The one sound reply to a call with that body. */
    static String replyTo(String callBody) {
        return "<reply to " + callBody + ">";
    }

    private void serve(Socket caller) throws IOException, InterruptedException {
        try (caller) {
            InputStream in = new BufferedInputStream(caller.getInputStream());
            OutputStream out = caller.getOutputStream();
            while (true) {
                String[] words = RuntimeStand.line(in).split(" ");
                if (!words[0].equals("GET")) {
                    continue; // STOP of a call that was answered already
                }
                byte[] body = in.readNBytes(Integer.parseInt(words[3]));
                in.readNBytes(2);
                String call = new String(body, StandardCharsets.UTF_8);
                record.add("index", "call " + call);
                Thread.sleep(ThreadLocalRandom.current().nextInt(fromMillis, toMillis + 1));
                byte[] reply = replyTo(call).getBytes(StandardCharsets.UTF_8);
                byte[] head = (words[1] + " HIT " + reply.length + "\r\n").getBytes(StandardCharsets.UTF_8);
                byte[] whole = java.util.Arrays.copyOf(head, head.length + reply.length + 2);
                System.arraycopy(reply, 0, whole, head.length, reply.length);
                whole[whole.length - 2] = '\r';
                whole[whole.length - 1] = '\n';
                out.write(whole);
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
