import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;
import java.util.TreeMap;

/**
 * A runtime by the protocol page: it runs what it is told to, each run for a time that its body tells as
 * {@code ...;MILLISECONDS}, with no bound on how many run at once. Runs go on while no link exists.
 */
final class StandInRuntime implements AutoCloseable {
    /** One run: when it began, by whose id, of which body. */
    record Run(double at, String id, String offering, String body) {
    }

    private final Lab lab;
    private final String name;
    private final ServerSocket server;
    private final Timer timer = new Timer(true);
    private final TreeMap<Long, byte[]> notices = new TreeMap<>();
    private final Map<String, String> running = new HashMap<>();
    private final List<Run> runs = new ArrayList<>();
    private final int cores;
    private Socket link;
    private long lastNotice;

    StandInRuntime(Lab lab, String name, int cores) throws IOException {
        this.lab = lab;
        this.cores = cores;
        this.name = name;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        lab.keep(this);
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket s = server.accept();
                    s.setTcpNoDelay(true);
                    Thread reader = new Thread(() -> read(s));
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

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    synchronized boolean linked() {
        return link != null;
    }

    /** How many runs were begun of bodies that begin so. */
    synchronized long runsOf(String bodyStart) {
        return runs.stream().filter(r -> r.body().startsWith(bodyStart)).count();
    }

    private void read(Socket s) {
        try {
            InputStream in = new BufferedInputStream(s.getInputStream());
            for (String line = line(in); line != null; line = line(in)) {
                String[] w = line.split(" ");
                byte[] payload = null;
                if (w[0].equals("start") || w[0].equals("give")) {
                    payload = in.readNBytes(Integer.parseInt(w[w.length - 1]));
                    in.readNBytes(2);
                }
                take(s, w, payload);
            }
        } catch (IOException | RuntimeException e) {
            lab.note(name + ": link ended: " + e.getMessage());
        }
        synchronized (this) {
            if (link == s) {
                link = null;
            }
        }
        try {
            s.close();
        } catch (IOException e) {
            return;
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.append((char) c);
        }
        return line.toString().trim();
    }

    private synchronized void take(Socket s, String[] w, byte[] payload) throws IOException {
        switch (w[0]) {
            case "sync" -> {
                link = s;
                say(s, Lab.bytes("ready LOADED 60000\r\n"));
                for (byte[] notice : notices.tailMap(Long.parseLong(w[1]), false).values()) {
                    say(s, notice);
                }
            }
            case "gauges" -> say(s, Lab.bytes("load " + w[1] + " " + Math.min(1.0, running.size() / (double) cores) + " "
                    + running.size() + "\r\n"));
            case "selftest" -> say(s, Lab.bytes("verdict " + w[1] + " PASS\r\n"));
            case "start" -> begin(w[1], w[2], new String(payload, StandardCharsets.UTF_8));
            default -> lab.note(name + ": " + String.join(" ", w));
        }
    }

    private void begin(String id, String offering, String body) {
        if (running.containsKey(id)) {
            return;
        }
        running.put(id, body);
        runs.add(new Run(lab.now(), id, offering, body));
        lab.note(name + " runs " + id + " " + offering + " " + body);
        long milliseconds = Long.parseLong(body.substring(body.lastIndexOf(';') + 1));
        timer.schedule(new TimerTask() {
            @Override
            public void run() {
                end(id, body, milliseconds);
            }
        }, milliseconds);
    }

    private synchronized void end(String id, String body, long milliseconds) {
        running.remove(id);
        long number = ++lastNotice;
        byte[] result = Lab.bytes("done " + body);
        byte[] head = Lab.bytes("end " + number + " " + id + " PASS " + milliseconds + " " + result.length + "\r\n");
        byte[] all = new byte[head.length + result.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(result, 0, all, head.length, result.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        notices.put(number, all);
        while (notices.size() > 4000) {
            notices.pollFirstEntry();
        }
        lab.note(name + " ended " + id + " PASS " + body);
        if (link != null) {
            say(link, all);
        }
    }

    private void say(Socket s, byte[] what) {
        try {
            s.getOutputStream().write(what);
            s.getOutputStream().flush();
        } catch (IOException e) {
            return; // kept, and told on the next link
        }
    }

    @Override
    public void close() throws IOException {
        timer.cancel();
        server.close();
    }
}
