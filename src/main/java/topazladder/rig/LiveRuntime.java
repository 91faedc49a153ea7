package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import topazladder.emulator.Runtime;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;
import topazladder.request.Outcome;
import topazladder.service.Scheduler;

/** The emulator's runtime behind the protocol of a real one, for one process at a time. */
final class LiveRuntime implements Runtime.Listener {
    private static final int KEPT = 4000;

    private record Notice(long number, byte[] bytes) {
    }

    private final DoubleSupplier clock;
    private final Scheduler timers;
    private final NetServer server;
    private final Deque<Notice> notices = new ArrayDeque<>(); // the last so many
    private Runtime runtime;
    private Runtime.Shape shape;
    private boolean cold;
    private double upAt;
    private NetSocket link;
    private long number;
    private Runnable waiting = () -> {};
    private BiConsumer<String, String> ran = (fingerprint, ref) -> {};
    private Watch watch = new Watch() {};

    /** Told of commands and results as they pass the socket. */
    interface Watch {

        /** The command to start that run has been read. */
        default void started(String ref) {}

        /** Its result is about to be written. */
        default void ended(String ref) {}
    }

    LiveRuntime(Vertx vertx, DoubleSupplier clock, Scheduler timers, int port) {
        this.clock = clock;
        this.timers = timers;
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        server.connectHandler(this::connected).listen(port, "127.0.0.1");
    }

    /** The machine comes up; links that wait for it are told. */
    void up(Runtime.Shape of, boolean empty) {
        shape = of;
        cold = empty;
        upAt = clock.getAsDouble();
        runtime = new Runtime(clock, timers, shape, cold, this);
        waiting.run();
        waiting = () -> {};
    }

    /** Told of each run of a fingerprinted request, by its fingerprint and its own name. */
    void whenRan(BiConsumer<String, String> what) {
        ran = what;
    }

    void watch(Watch by) {
        watch = by;
    }

    void close() {
        server.close();
    }

    /** Reading a request takes the cores as its run does. */
    void read(double work, Runnable then) {
        if (runtime == null) {
            then.run();
        } else {
            runtime.read(work, then);
        }
    }

    private void connected(NetSocket socket) {
        link = socket;
        LineReader reader = new LineReader(4096, w -> switch (w[0]) {
            case "start" -> w.length == 4 ? LineReader.length(w[3]) : -1;
            case "give" -> w.length == 3 ? LineReader.length(w[2]) : -1;
            default -> -1;
        });
        socket.handler(more -> {
            try {
                reader.feed(more.getBytes());
                for (LineReader.Line l = reader.next(); l != null; l = reader.next()) {
                    take(socket, l);
                }
            } catch (MalformedMessageException e) {
                socket.close();
            }
        });
    }

    private void take(NetSocket socket, LineReader.Line line) {
        String[] w = line.words();
        switch (w[0]) {
            case "sync" -> {
                Runnable ready = () -> {
                    long ms = Math.round((clock.getAsDouble() - upAt) * 1000);
                    say(socket, "ready " + (cold ? "EMPTY " : "LOADED ") + ms);
                    notices.stream().filter(n -> n.number() > Long.parseLong(w[1]))
                            .forEach(n -> socket.write(Buffer.buffer(n.bytes())));
                };
                if (runtime == null) {
                    waiting = ready;
                } else {
                    ready.run();
                }
            }
            case "start" -> {
                watch.started(w[1]);
                String[] body = new String(line.payload(), StandardCharsets.US_ASCII).split(" ");
                if (body.length > 2) {
                    ran.accept(body[2], w[1]);
                }
                runtime.start(w[1], line.payload());
            }
            case "give" -> runtime.goOn(w[1], false);
            case "omit" -> runtime.goOn(w[1], true);
            case "gauges" -> {
                double[] g = runtime == null ? new double[2] : runtime.gauges();
                say(socket, "load " + w[1] + " " + g[0] + " " + g[1]);
            }
            default -> say(socket, "verdict " + w[1] + " PASS");
        }
    }

    private static void say(NetSocket socket, String line) {
        socket.write(line + "\r\n");
    }

    private void notice(String head, byte[] blob) {
        Buffer all = Buffer.buffer(head + " " + blob.length + "\r\n").appendBytes(blob).appendString("\r\n");
        notices.add(new Notice(number, all.getBytes()));
        if (notices.size() > KEPT) {
            notices.poll();
        }
        if (link != null) {
            link.write(all);
        }
    }

    @Override
    public void ended(String ref, Outcome how, double elapsed, byte[] result) {
        watch.ended(ref);
        notice("end " + ++number + " " + ref + (how == Outcome.SUCCEEDED ? " PASS " : " FAIL ")
                + Math.round(elapsed * 1000),
                result);
    }

    @Override
    public void wants(String ref, long notice, byte[] body) {
        // The run's own number of the notice is not used: the numbers here count ends as well.
        notice("wants " + ++number + " " + ref, new String(body, StandardCharsets.US_ASCII)
                .getBytes(StandardCharsets.US_ASCII));
    }
}
