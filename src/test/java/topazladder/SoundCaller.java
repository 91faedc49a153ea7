package topazladder;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A caller that keeps to the protocol: a request every 20 ms on one connection, and the time that each answer took. */
final class SoundCaller implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int CODE_OFFSET = 5;
    private static final byte RESPONSE = 17;
    /** The protocol's bound is 32 on one connection. */
    private static final int MAX_OPEN = 31;

    /** What became of the requests; times in milliseconds. */
    record Report(int sent, int unanswered, int served, double medianMillis, double p99Millis, double maxMillis,
            int connections) {
    }

    private final int port;
    private final Thread sender;
    /** By request number: when it was written, then how long its answer took, as a negative number. */
    private final Map<Integer, Long> nanos = new ConcurrentHashMap<>();
    private volatile boolean over;
    private volatile int served;
    private volatile int connections;
    private int sent;

    SoundCaller(int port) {
        this.port = port;
        sender = new Thread(this::send, "sound-caller");
        sender.setDaemon(true);
        sender.start();
    }

    private void send() {
        while (!over) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                connections++;
                socket.setTcpNoDelay(true);
                int base = sent;
                Thread reader = new Thread(() -> read(socket, base), "sound-caller-reader");
                reader.setDaemon(true);
                reader.start();
                while (!over && reader.isAlive()) {
                    if (open() >= MAX_OPEN) {
                        Thread.sleep(INTERVAL_MILLIS);
                        continue;
                    }
                    int number = ++sent;
                    nanos.put(number, System.nanoTime());
                    socket.getOutputStream().write(CallerFrameBuilder.request(number - base,
                            String.format("5%015x", number), "read", "dup", "1"));
                    Thread.sleep(INTERVAL_MILLIS);
                }
                reader.join(over ? 6000 : 0);
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void read(Socket socket, int base) {
        try {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            while (!over || open() > 0) {
                byte[] frame = in.readNBytes(in.readInt());
                if (frame[0] != RESPONSE) {
                    return; // it is asked for no more requests on this connection
                }
                int number = base + java.nio.ByteBuffer.wrap(frame, 1, Integer.BYTES).getInt();
                nanos.computeIfPresent(number, (key, writtenAt) -> writtenAt - System.nanoTime());
                served += frame[CODE_OFFSET] == 0 ? 1 : 0;
            }
        } catch (IOException e) {
            return; // the next request goes on another connection
        }
    }

    private int open() {
        return (int) nanos.values().stream().filter(each -> each > 0).count();
    }

    /** Stops sending, waits for what is open, and tells what became of all. */
    Report finish() throws InterruptedException {
        over = true;
        sender.join(8000);
        double[] millis = nanos.values().stream().filter(each -> each <= 0)
                .mapToDouble(each -> -each / (double) NANOS_PER_MILLI).sorted().toArray();
        int unanswered = nanos.size() - millis.length;
        return new Report(nanos.size(), unanswered, served, at(millis, 0.5), at(millis, 0.99), at(millis, 1),
                connections);
    }

    private static double at(double[] sorted, double share) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.round((sorted.length - 1) * share)];
    }

    @Override
    public void close() {
        over = true;
    }

}
