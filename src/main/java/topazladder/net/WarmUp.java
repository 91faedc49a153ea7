package topazladder.net;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazladder.config.ServiceSettings;
import topazladder.config.ServiceSettings.Address;
import topazladder.request.RequestClass;
import topazladder.request.RequestClass.Repeats;

/**
 * Plays a few hundred requests through an instance of its own before the real one listens, all round it played by
 * this class on the same machine's loopback. A Java machine that has run nothing yet takes ten times as long for a
 * request, and on part of a core its first callers would wait for that; also what a start needs is loaded once, for
 * the archive that later starts map. Nothing of it is left but compiled code.
 */
public final class WarmUp {
    private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
    public static final int REQUESTS = 400;
    private static final int AT_ONCE = 8;
    /** Seconds: a late start costs more than a slow one. */
    private static final double LONGEST = 5;

    private final ServiceSettings terms;
    private final InetAddress host;
    private final long endNs = System.nanoTime() + (long) (LONGEST * 1e9);

    private int answers;

    private WarmUp(ServiceSettings terms) throws IOException {
        this.terms = terms;
        host = InetAddress.getByName(terms.listen().host());
    }

    /** Returns the answers that came when it is over; one that fails costs nothing but a slow start. */
    public static int play(ServiceSettings terms) {
        int answers = 0;
        try {
            WarmUp rehearsal = new WarmUp(terms);
            rehearsal.play();
            answers = rehearsal.answers;
        } catch (IOException | RuntimeException e) {
            LOG.warn("the rehearsal failed: {}", e.toString());
        }
        return answers;
    }

    private void play() throws IOException {
        CountDownLatch over = new CountDownLatch(1);
        try (ServerSocket runtime = new ServerSocket(0, 8, host); ServerSocket index = new ServerSocket(0, 64, host)) {
            int port;
            try (ServerSocket free = new ServerSocket(0, 1, host)) {
                port = free.getLocalPort();
            }
            String at = terms.listen().host();
            ServiceInstance service = new ServiceInstance(new ServiceSettings("rehearsal", new Address(at, port),
                    new Address(at, runtime.getLocalPort()), new Address(at, index.getLocalPort()),
                    new Address(at, index.getLocalPort()), 1, 0.3, terms.maxSockets(), terms.terms()),
                    status -> over.countDown());
            service.start();
            daemon(runtime, this::runtime);
            daemon(index, this::index);
            try (Socket one = connect(port); Socket two = connect(port)) {
                ask(one, two);
            } finally {
                service.leave();
                over.await(2, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private interface Part {
        void play(Socket with) throws IOException;
    }

    private static void daemon(ServerSocket server, Part part) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    Thread each = new Thread(() -> {
                        try (socket) {
                            part.play(socket);
                        } catch (IOException e) {
                            LOG.debug("a part of the rehearsal ends", e);
                        }
                    });
                    each.setDaemon(true);
                    each.start();
                }
            } catch (IOException e) {
                LOG.debug("the rehearsal is over", e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private Socket connect(int port) throws IOException {
        while (true) {
            try {
                Socket socket = new Socket(host, port);
                socket.setSoTimeout(1000);
                socket.setTcpNoDelay(true);
                return socket;
            } catch (IOException e) {
                if (System.nanoTime() > endNs) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    private void runtime(Socket link) throws IOException {
        InputStream in = new BufferedInputStream(link.getInputStream());
        StringBuilder say = new StringBuilder();
        int notice = 0;
        while (true) {
            String[] w = words(in);
            switch (w[0]) {
                case "sync" -> say.append("ready LOADED 1\r\n");
                case "gauges" -> say.append("load ").append(w[1]).append(" 0.5 1\r\n");
                case "start" -> {
                    in.skipNBytes(Integer.parseInt(w[3]) + 2);
                    say.append("wants ").append(++notice).append(' ').append(w[1]).append(" 1\r\nx\r\n");
                }
                default -> {
                    in.skipNBytes(w[0].equals("give") ? Integer.parseInt(w[2]) + 2 : 0);
                    say.append("end ").append(++notice).append(' ').append(w[1]).append(" PASS 5 4\r\nwork\r\n");
                }
            }
            if (in.available() == 0) {
                link.getOutputStream().write(say.toString().getBytes(StandardCharsets.UTF_8));
                say.setLength(0);
            }
        }
    }

    private void index(Socket line) throws IOException {
        InputStream in = new BufferedInputStream(line.getInputStream());
        while (true) {
            String[] w = words(in);
            in.skipNBytes(Integer.parseInt(w[3]) + 2);
            line.getOutputStream().write((w[1] + " HIT 1\r\ny\r\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    private static String[] words(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("closed");
            }
            line.append((char) c);
        }
        return line.toString().trim().split(" ");
    }

    private void ask(Socket... callers) throws IOException {
        List<RequestClass> requestClasses = terms.terms().requestClasses();
        DataInputStream[] in = new DataInputStream[callers.length];
        for (int i = 0; i < callers.length; i++) {
            in[i] = new DataInputStream(new BufferedInputStream(callers[i].getInputStream()));
        }
        for (int i = 0; i < REQUESTS + AT_ONCE && System.nanoTime() < endNs; i++) {
            int c = i % callers.length;
            if (i >= AT_ONCE) {
                byte type;
                do {
                    byte[] frame = in[c].readNBytes(in[c].readInt());
                    type = frame.length > 0 ? frame[0] : 0;
                } while (type == 48);
                answers++;
            }
            if (i < REQUESTS) {
                callers[c].getOutputStream().write(request(i, requestClasses.get(i % requestClasses.size())));
            }
        }
    }

    private byte[] request(int i, RequestClass requestClass) {
        String ref = String.format("%016x", i + 1);
        boolean marked = requestClass.idempotency() == Repeats.IDEMPOTENT_BY_KEY;
        boolean named = !terms.terms().tenants().isEmpty();
        String[] fields =
                {"service", requestClass.name(), "ref", ref, "since", String.valueOf(System.currentTimeMillis()),
                        "room", "10", "class_rank", "0.5", named ? "project" : "sender",
                        named ? terms.terms().tenants().get(0).name() : "1", marked ? "replay" : "lookup", ref};
        ByteBuffer out = ByteBuffer.allocate(512).putInt(0).put((byte) 16).putInt(i + 1)
                .put((byte) (fields.length / 2));
        for (int f = 0; f < fields.length; f += 2) {
            byte[] name = fields[f].getBytes(StandardCharsets.UTF_8);
            byte[] value = fields[f + 1].getBytes(StandardCharsets.UTF_8);
            out.put((byte) name.length).put(name).putShort((short) value.length).put(value);
        }
        out.put(new byte[40]).putInt(0, out.position() - 4);
        byte[] frame = new byte[out.position()];
        out.flip().get(frame);
        return frame;
    }
}
