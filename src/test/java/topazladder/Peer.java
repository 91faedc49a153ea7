package topazladder;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stands in for what an instance reaches by lines of words, on a port of its own. */
public final class Peer implements AutoCloseable {
    private final ServerSocket server;
    private Socket link;
    private InputStream in;

    public Peer() throws IOException {
        this(0);
    }

    public Peer(int port) throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public Peer accept() throws IOException {
        link = server.accept();
        link.setSoTimeout(20_000);
        link.setTcpNoDelay(true);
        in = new BufferedInputStream(link.getInputStream());
        return this;
    }

    /** The next line that says anything but to ask for gauges, which are given. */
    public String hear() throws IOException {
        for (long last = System.nanoTime() + 20_000_000_000L;;) {
            String line = line();
            if (!line.startsWith("gauges ")) {
                return line;
            }
            if (System.nanoTime() > last) {
                throw new IOException("nothing but questions for gauges for 20 s");
            }
            say("load " + line.substring(7) + " 0.5 1\r\n");
        }
    }

    /** Waits for a question after the gauges and leaves it without its answer. */
    public String hearQuestion() throws IOException {
        String line = line();
        while (!line.startsWith("gauges ") && !line.equals("closed")) {
            line = line();
        }
        return line;
    }

    public String hear(int bytes) throws IOException {
        return new String(in.readNBytes(bytes + 2), StandardCharsets.UTF_8).trim();
    }

    public Peer say(String text) throws IOException {
        link.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    public void hangUp() throws IOException {
        link.close();
    }

    public void saysNoMore() throws IOException {
        link.shutdownOutput();
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return "closed";
            }
            line.append((char) c);
        }
        return line.toString().trim();
    }

    @Override
    public void close() throws IOException {
        server.close();
        if (link != null) {
            link.close();
        }
    }
}
