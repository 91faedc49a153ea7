package topazladder.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stand-ins for the runtime and the dependency of the warm-up, each connection on a daemon thread of its own. */
final class WarmUpStandIns {
    private static final Logger LOG = LoggerFactory.getLogger(WarmUpStandIns.class);
    private static final int LINE_END_BYTES = 2;

    /** Plays one side of one connection until it ends. */
    interface Conversation {
        void play(Socket connection) throws IOException;
    }

    private WarmUpStandIns() {}

    /** Accepts connections until the server socket is closed. */
    static void serve(ServerSocket server, Conversation conversation) {
        startDaemon(() -> {
            try {
                while (true) {
                    Socket connection = server.accept();
                    startDaemon(() -> converse(connection, conversation));
                }
            } catch (IOException e) {
                LOG.debug("warm-up over", e);
            }
        });
    }

    private static void converse(Socket connection, Conversation conversation) {
        try (connection) {
            conversation.play(connection);
        } catch (IOException e) {
            LOG.debug("warm-up connection closed", e);
        }
    }

    private static void startDaemon(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }

    /** A runtime whose every run waits for one call and then succeeds. */
    static void playRuntime(Socket link) throws IOException {
        InputStream in = new BufferedInputStream(link.getInputStream());
        OutputStream out = link.getOutputStream();
        StringBuilder notices = new StringBuilder();
        int lastNotice = 0;
        while (true) {
            String[] words = readWords(in);
            switch (words[0]) {
                case "sync" -> notices.append("ready LOADED 1\r\n");
                case "gauges" -> notices.append("load ").append(words[1]).append(" 0.5 1\r\n");
                case "start" -> {
                    skipPayload(in, words[3]);
                    notices.append("wants ").append(++lastNotice).append(' ').append(words[1]).append(" 1\r\nx\r\n");
                }
                default -> {
                    if (words[0].equals("give")) {
                        skipPayload(in, words[2]);
                    }
                    notices.append("end ").append(++lastNotice).append(' ').append(words[1])
                            .append(" PASS 5 4\r\nwork\r\n");
                }
            }
            if (in.available() == 0) {
                out.write(notices.toString().getBytes(StandardCharsets.UTF_8));
                notices.setLength(0);
            }
        }
    }

    /** A dependency whose every call succeeds at once. */
    static void playDependency(Socket connection) throws IOException {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        while (true) {
            String[] words = readWords(in);
            skipPayload(in, words[3]);
            connection.getOutputStream().write((words[1] + " HIT 1\r\ny\r\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void skipPayload(InputStream in, String length) throws IOException {
        in.skipNBytes(Integer.parseInt(length) + LINE_END_BYTES);
    }

    private static String[] readWords(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = in.read(); character != '\n'; character = in.read()) {
            if (character < 0) {
                throw new IOException("closed");
            }
            line.append((char) character);
        }
        return line.toString().trim().split(" ");
    }
}
