package topazladder;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Clients that harm an instance, in a process of their own: {@code PORT HABIT CONNECTIONS SECONDS}. One that loses its
 * connection makes another. At the end one line tells what was sent.
 */
final class HostileClients {
    private static final int OPEN_STREAMS = 31;
    private static final int FRAMES_PER_WRITE = 200;
    private static final int LARGEST_BUFFERED_FRAME = 16_384;
    private static final int LARGEST_FRAME = 262_144;
    private static final int SLOW_WRITE_BYTES = 700;
    private static final long SLOW_WRITE_MILLIS = 100;
    private static final int RECONNECT_MILLIS = 5;
    private static final int STREAM_OFFSET = 5;
    private static final long LAST_WRITE_NANOS = 500_000_000;
    /** None for those that stay away: most of what they wrote lies unread as they leave. */
    private static final int BEFORE_LEAVING_MILLIS = 20;
    private static final int AWAY_MILLIS = 700;

    /** What the clients send; each name says which, and the builder below how. */
    enum Habit {
        /** A large request, a few bytes at a time; many connections. */
        SLOW_LARGE_REQUEST,
        /** Half of a large request and nothing more; many connections. */
        HALF_LARGE_REQUEST,
        /** Half of a request that is longer than any sound one; many connections. */
        HALF_OVERLONG_REQUEST,
        /** As many short fields as a head may have, all but the last byte; many connections. */
        MANY_FIELDS_UNFINISHED,
        /** The same, whole; many connections. */
        MANY_FIELDS,
        /** As many requests with a very long key as may be open; many connections. */
        LONG_KEYS,
        /** Requests that must run once at most, a close over them in order, and the same again on a new connection. */
        CLOSE_AND_RETURN,
        /** The same with a reset. */
        RESET_AND_RETURN,
        /** As many requests as may be open, and a close in order over most of them; tells when. */
        CLOSE,
        /** The same with a reset. */
        RESET,

        // One connection at full speed.
        REQUESTS, REQUESTS_PACED, KEYS_PACED, LONG_KEYS_PACED, UNKNOWN_CLASSES, UNKNOWN_TENANTS, UNKNOWN_FIELDS,
        OVERLONG_REQUESTS,
        CANCELLATIONS, REQUESTS_CANCELLED, HEALTH_CHECKS, HEALTH_CHECKS_UNREAD, HEALTH_CHECKS_OF_MANY_FIELDS,
        DEEP_HEALTH_CHECKS, RESPONSES, HEALTH_RESPONSES, NO_NEW_REQUESTS, UNKNOWN_TYPES, EMPTY_FRAMES, NEGATIVE_LENGTHS;

        boolean isOfManyConnections() {
            return ordinal() < REQUESTS.ordinal();
        }

        boolean leaves() {
            return this == CLOSE || this == RESET || this == CLOSE_AND_RETURN || this == RESET_AND_RETURN;
        }

        /** Whether the next frame is written only once fewer than the protocol's bound are open. */
        boolean isPaced() {
            return this == REQUESTS_PACED || this == KEYS_PACED || this == LONG_KEYS_PACED;
        }
    }

    private final int port;
    private final Habit habit;
    private final long endNanos;
    private final AtomicLong frames = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private final AtomicLong answers = new AtomicLong();
    private byte[] shared; // by all connections on which it is never whole
    private long names;

    private HostileClients(int port, Habit habit, double seconds) {
        this.port = port;
        this.habit = habit;
        endNanos = System.nanoTime() + (long) (seconds * 1e9);
    }

    public static void main(String[] args) throws Exception {
        HostileClients clients =
                new HostileClients(Integer.parseInt(args[0]), Habit.valueOf(args[1]), Double.parseDouble(args[3]));
        clients.endInTime();
        if (clients.habit.leaves()) {
            clients.leaveAgainAndAgain();
        } else if (clients.habit.isOfManyConnections()) {
            clients.holdMany(Integer.parseInt(args[2]));
        } else {
            clients.flood();
        }
        clients.end();
    }

    /** Writing blocks where the instance reads no more. */
    private void endInTime() {
        Thread timer = new Thread(() -> {
            while (!isOver()) {
                LockSupport.parkNanos(endNanos - System.nanoTime());
            }
            LockSupport.parkNanos(LAST_WRITE_NANOS);
            end();
        });
        timer.setDaemon(true);
        timer.start();
    }

    private synchronized void end() {
        System.out.println("habit=" + habit + " connections=" + connections + " frames=" + frames + " bytes=" + bytes
                + " answers=" + answers);
        Runtime.getRuntime().halt(0);
    }

    private boolean isOver() {
        return System.nanoTime() > endNanos;
    }

    // ---- One connection at full speed

    private void flood() throws InterruptedException {
        while (!isOver()) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                connections.incrementAndGet();
                Semaphore mayOpen = new Semaphore(OPEN_STREAMS);
                if (habit != Habit.HEALTH_CHECKS_UNREAD) {
                    Thread reader = new Thread(() -> readAnswers(socket, mayOpen));
                    reader.setDaemon(true);
                    reader.start();
                }
                write(socket, mayOpen);
            } catch (IOException e) {
                Thread.sleep(RECONNECT_MILLIS);
            }
        }
    }

    private void write(Socket socket, Semaphore mayOpen) throws IOException, InterruptedException {
        int stream = 0;
        while (!isOver()) {
            ByteArrayOutputStream batch = new ByteArrayOutputStream();
            int count = FRAMES_PER_WRITE;
            if (habit.isPaced()) {
                if (!mayOpen.tryAcquire(1, TimeUnit.SECONDS)) {
                    throw new IOException("no answer for a second");
                }
                count = 1 + mayOpen.drainPermits();
            }
            for (int i = 0; i < count; i++) {
                batch.write(frame(++stream));
            }
            frames.addAndGet(count);
            bytes.addAndGet(batch.size());
            socket.getOutputStream().write(batch.toByteArray());
        }
    }

    private void readAnswers(Socket socket, Semaphore mayOpen) {
        try {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
            while (true) {
                in.skipNBytes(in.readInt());
                answers.incrementAndGet();
                mayOpen.release();
            }
        } catch (IOException e) {
            mayOpen.release(OPEN_STREAMS); // the next write finds out
        }
    }

    // ---- Many connections

    private void holdMany(int count) throws Exception {
        byte[] frame = frame(1);
        shared = frame;
        int upTo = switch (habit) {
            case HALF_LARGE_REQUEST, HALF_OVERLONG_REQUEST -> frame.length / 2;
            case MANY_FIELDS_UNFINISHED -> frame.length - 1;
            default -> frame.length;
        };
        int atOnce = habit == Habit.SLOW_LARGE_REQUEST ? SLOW_WRITE_BYTES : upTo;
        List<Slow> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Slow());
        }
        while (!isOver()) {
            for (Slow each : all) {
                each.go(upTo, atOnce);
            }
            Thread.sleep(SLOW_WRITE_MILLIS);
        }
    }

    /** One of many connections, which writes a frame by pieces and reads whatever comes. */
    private final class Slow {
        private final ByteBuffer unread = ByteBuffer.allocate(1 << 16);
        private SocketChannel channel;
        private byte[] frame;
        private int written;

        void go(int upTo, int atOnce) {
            try {
                if (channel == null) {
                    channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    channel.configureBlocking(false);
                    frame = habit == Habit.MANY_FIELDS || habit == Habit.LONG_KEYS ? frame(1) : shared;
                    written = 0;
                    connections.incrementAndGet();
                }
                int length = Math.min(atOnce, upTo - written);
                if (length > 0) {
                    int sent = channel.write(ByteBuffer.wrap(frame, written, length));
                    written += sent;
                    bytes.addAndGet(sent);
                    frames.addAndGet(written == frame.length ? 1 : 0);
                }
                unread.clear();
                if (channel.read(unread) < 0) {
                    throw new IOException("closed");
                }
            } catch (IOException e) {
                close();
            }
        }

        private void close() {
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                // It is left either way.
            }
            channel = null;
        }
    }

    // ---- Leaving

    private void leaveAgainAndAgain() throws Exception {
        boolean returns = habit == Habit.CLOSE_AND_RETURN || habit == Habit.RESET_AND_RETURN;
        for (int round = 1; !isOver(); round++) {
            byte[] requests = requestsOf(round, returns ? "invoice" : "read");
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                connections.incrementAndGet();
                socket.getOutputStream().write(requests);
                Thread.sleep(returns ? BEFORE_LEAVING_MILLIS : 0);
                if (habit == Habit.RESET || habit == Habit.RESET_AND_RETURN) {
                    socket.setSoLinger(true, 0);
                }
            }
            System.out.println("left round=" + round + " at=" + System.currentTimeMillis());
            Thread.sleep(AWAY_MILLIS);
            if (returns) {
                returnWith(requests);
            }
        }
    }

    private byte[] requestsOf(int round, String requestClass) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int stream = 1; stream <= OPEN_STREAMS; stream++) {
            names = ((long) round << Integer.SIZE) + stream;
            all.write(request(stream, requestClass));
        }
        return all.toByteArray();
    }

    private void returnWith(byte[] requests) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(AWAY_MILLIS);
            socket.getOutputStream().write(requests);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            for (int i = 0; i < OPEN_STREAMS; i++) {
                in.skipNBytes(in.readInt());
                answers.incrementAndGet();
            }
        } catch (SocketTimeoutException e) {
            System.out.println("unanswered after the return");
        }
    }

    // ---- Frames

    private byte[] frame(int stream) {
        String name = Long.toHexString(++names);
        return switch (habit) {
            case SLOW_LARGE_REQUEST, HALF_LARGE_REQUEST -> padded(stream, LARGEST_BUFFERED_FRAME - 1);
            case HALF_OVERLONG_REQUEST, OVERLONG_REQUESTS -> padded(stream, LARGEST_FRAME - 1);
            case MANY_FIELDS, MANY_FIELDS_UNFINISHED -> CallerFrameBuilder.frame(16, stream, manyFields());
            case LONG_KEYS, LONG_KEYS_PACED -> keyed(stream, "0".repeat(14_000) + name);
            case REQUESTS, REQUESTS_PACED, CLOSE, RESET -> request(stream, "read");
            case CLOSE_AND_RETURN, RESET_AND_RETURN -> request(stream, "invoice");
            case KEYS_PACED -> keyed(stream, name);
            case UNKNOWN_CLASSES -> request(stream, "class-" + name);
            case UNKNOWN_TENANTS -> request(stream, "read", "project", "tenant-" + name);
            case UNKNOWN_FIELDS -> request(stream, "read", "field-" + name, name);
            case CANCELLATIONS -> CallerFrameBuilder.frame(18, stream);
            case REQUESTS_CANCELLED -> joined(request(stream, "read"), CallerFrameBuilder.frame(18, stream));
            case HEALTH_CHECKS, HEALTH_CHECKS_UNREAD -> CallerFrameBuilder.healthCheck(stream);
            case HEALTH_CHECKS_OF_MANY_FIELDS -> CallerFrameBuilder.frame(32, stream, manyFields());
            case DEEP_HEALTH_CHECKS -> CallerFrameBuilder.deepHealthCheck(stream);
            case RESPONSES -> CallerFrameBuilder.frame(17, stream, new byte[2]);
            case HEALTH_RESPONSES -> CallerFrameBuilder.frame(33, stream, new byte[2]);
            case NO_NEW_REQUESTS -> CallerFrameBuilder.frame(48, 0);
            case UNKNOWN_TYPES -> CallerFrameBuilder.frame(99, stream, name.getBytes(StandardCharsets.UTF_8));
            case EMPTY_FRAMES -> new byte[4];
            case NEGATIVE_LENGTHS -> new byte[] {-1, -1, -1, -1, 16, 0, 0, 0, 1};
        };
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    private byte[] request(int stream, String requestClass, String... more) {
        String[] fields = {"service", requestClass, "ref", String.format("%016x", names), "since",
                String.valueOf(System.currentTimeMillis()), "sender", "9", "room", "0.5", "class_rank", "0.9000"};
        boolean ownTenant = more.length > 0 && more[0].equals("project");
        String[] tenant = ownTenant ? new String[0] : new String[] {"project", "acme"};
        List<String> all = new ArrayList<>(List.of(fields));
        all.addAll(List.of(tenant));
        all.addAll(List.of(more));
        return CallerFrameBuilder.frame(16, stream, CallerFrameBuilder.fields(all.toArray(String[]::new)),
                "5".getBytes(StandardCharsets.UTF_8));
    }

    private byte[] keyed(int stream, String key) {
        return request(stream, "place", "replay", key);
    }

    /** A request whose body makes the frame as long as wanted. */
    private byte[] padded(int stream, int length) {
        byte[] request = request(stream, "read");
        byte[] all = Arrays.copyOf(request, Integer.BYTES + length);
        ByteBuffer.wrap(all).putInt(0, length).putInt(STREAM_OFFSET, stream);
        return all;
    }

    private static byte[] manyFields() {
        String[] fields = new String[2 * 255];
        for (int i = 0; i < 255; i++) {
            fields[2 * i] = Integer.toHexString(i);
            fields[2 * i + 1] = "";
        }
        return CallerFrameBuilder.fields(fields);
    }
}
