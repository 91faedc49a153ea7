package topazladder;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stands in for the runtime or the dependency, which an instance reaches by lines of words, on a port of its own. */
public final class StandInLineServer implements AutoCloseable {
    /** What is returned in place of a line at the end of the connection. */
    public static final String CLOSED = "closed";

    private static final int TIMEOUT_MILLIS = 20_000;
    private static final long TIMEOUT_NANOS = TIMEOUT_MILLIS * 1_000_000L;
    private static final int BACKLOG = 50;
    private static final String GAUGES_QUESTION = "gauges ";

    private final ServerSocket server;
    private Socket connection;
    private InputStream in;

    public StandInLineServer() throws IOException {
        this(0);
    }

    /** @param port of the loopback interface, or 0 for any that is free */
    public StandInLineServer(int port) throws IOException {
        server = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MILLIS);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Waits for the next connection, which takes the place of the one before. */
    public StandInLineServer accept() throws IOException {
        connection = server.accept();
        connection.setSoTimeout(TIMEOUT_MILLIS);
        connection.setTcpNoDelay(true);
        in = new BufferedInputStream(connection.getInputStream());
        return this;
    }

    /** Returns the next line that is no question for the gauges; those are answered. */
    public String receive() throws IOException {
        for (long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;;) {
            String line = readLine();
            if (!line.startsWith(GAUGES_QUESTION)) {
                return line;
            }
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("nothing but questions for gauges for 20 s");
            }
            answerGauges(line);
        }
    }

    /** Waits for a question for the gauges and leaves it without its answer. */
    public String receiveGaugesQuestion() throws IOException {
        String line = readLine();
        while (!line.startsWith(GAUGES_QUESTION) && !line.equals(CLOSED)) {
            line = readLine();
        }
        return line;
    }

    /** Answers a question for the gauges. */
    public StandInLineServer answerGauges(String question) throws IOException {
        return send("load " + question.substring(GAUGES_QUESTION.length()) + " 0.5 1\r\n");
    }

    /** Returns the payload that follows the line read last, without its CR LF. */
    public String receivePayload(int bytes) throws IOException {
        return new String(in.readNBytes(bytes + 2), StandardCharsets.UTF_8).trim();
    }

    /** Writes text as it is. */
    public StandInLineServer send(String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    /** Closes the connection; the port still listens. */
    public void disconnect() throws IOException {
        connection.close();
    }

    /** It sends no more, and goes on reading. */
    public void shutdownOutput() throws IOException {
        connection.shutdownOutput();
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = in.read(); character != '\n'; character = in.read()) {
            if (character < 0) {
                return CLOSED;
            }
            line.append((char) character);
        }
        return line.toString().trim();
    }

    @Override
    public void close() throws IOException {
        server.close();
        if (connection != null) {
            connection.close();
        }
    }
}
