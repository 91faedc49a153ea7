package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import topazladder.emulator.Runtime;

/**
 * One service instance of the packed program between an open-loop caller and a stand-in for its runtime, both in this
 * process: how long it takes to start, and what it adds to a request. Times begin at the intended send, so that a stall
 * of the instance counts for every request that it delays. They hold this process's own delays and two hops on
 * loopback: what is measured is an upper bound.
 */
public final class PathRig implements AutoCloseable {
    private static final int CONNECTIONS = 8;
    private static final double CORES = 6;
    private static final double RUN_SECONDS = 0.01;
    private static final double WARM_SECONDS = 10;
    private static final long START_SECONDS = 60;
    private static final long LONGEST_NANOS = 10_000_000_000L;
    private static final int DIGITS = 3;
    private static final double MILLI = 1e6;
    private static final String SERVES = "name=n0 from=awaiting-runtime to=serving";

    /**
     * What came of one start and one measurement.
     *
     * @param startSeconds until it served; NaN where it ended instead
     * @param startCpuSeconds of a core until then
     * @param refusal the last line that it logged where it ended; empty otherwise
     * @param usage of the process at the end
     * @param cpuMicros of a core a request
     * @param toRuntime milliseconds from the intended send to the start command at the runtime
     * @param toCaller milliseconds from the result at the runtime to the answer at the caller
     * @param answered requests that were served in the window, of those sent
     * @param sent in the window
     */
    public record Result(double startSeconds, double startCpuSeconds, String refusal, ProcessUsage usage,
            double cpuMicros, Percentiles toRuntime, Percentiles toCaller, long answered, long sent) {
    }

    /** Milliseconds. */
    public record Percentiles(double p50, double p99, double p999, double most) {

        private static Percentiles of(Histogram h) {
            return new Percentiles(h.getValueAtPercentile(50) / MILLI, h.getValueAtPercentile(99) / MILLI,
                    h.getValueAtPercentile(99.9) / MILLI, h.getMaxValue() / MILLI);
        }
    }

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final Path folder;
    private final PathSettings settings;
    private final int heapMb;
    private final int port;
    private final SplittableRandom chance = new SplittableRandom(1); // the loop's
    private final SplittableRandom arrivals = new SplittableRandom(2); // the thread's that waits for them
    private final LiveRuntime runtime;
    private final Programs programs;
    private final List<NetSocket> sockets = new ArrayList<>();
    private final Map<String, Long> intendedAt = new HashMap<>(); // by ref, until it starts
    private final Map<String, Long> endedAt = new HashMap<>(); // by ref, until it is answered
    private final Map<Integer, String> refs = new HashMap<>(); // by stream, until it is answered
    private final Histogram toRuntime = new Histogram(LONGEST_NANOS, DIGITS);
    private final Histogram toCaller = new Histogram(LONGEST_NANOS, DIGITS);
    private Process process;
    private int stream;
    private long sent;
    private long answered;
    private boolean counting;
    private volatile boolean over;

    /** @param heapMb of the instance */
    public PathRig(PathSettings settings, int heapMb) throws Exception {
        this.settings = settings;
        this.heapMb = heapMb;
        folder = Files.createTempDirectory("topazladder-path");
        programs = new Programs(folder);
        int[] ports = Programs.freePorts(2);
        port = ports[0];
        programs.configure("n0", settings.config(ports[0], ports[1]));
        runtime = OnLoop.get(vertx, () -> new LiveRuntime(vertx, () -> System.nanoTime() / 1e9,
                (s, what) -> vertx.setTimer(Math.max(1, Math.round(s * 1000)), id -> what.run()), ports[1]));
        OnLoop.get(vertx, () -> {
            runtime.up(new Runtime.Shape(CORES, 1, 1, 1, 2), false);
            runtime.watch(new LiveRuntime.Watch() {
                @Override
                public void started(String ref) {
                    record(intendedAt.remove(ref), toRuntime);
                }

                @Override
                public void ended(String ref) {
                    endedAt.put(ref, System.nanoTime());
                }
            });
            return null;
        });
    }

    private void record(Long since, Histogram in) {
        if (since != null && counting) {
            in.recordValue(Math.min(LONGEST_NANOS, System.nanoTime() - since));
        }
    }

    public Result measure() throws Exception {
        long begin = System.nanoTime();
        process = programs.startPlain("n0", heapMb);
        while (!logged(SERVES)) {
            if (!process.isAlive()) {
                return new Result(Double.NaN, Double.NaN, lastLine(), ProcessUsage.of(process.pid()), 0,
                        Percentiles.of(toRuntime), Percentiles.of(toCaller), 0, 0);
            }
            if (System.nanoTime() - begin > START_SECONDS * 1_000_000_000L) {
                throw new IOException("it did not serve in time: " + lastLine());
            }
            Thread.sleep(10);
        }
        double startSeconds = (System.nanoTime() - begin) / 1e9;
        double startCpu = ProcessUsage.of(process.pid()).cpuSeconds();
        connect();
        Thread arriving = new Thread(this::arrive, "arrivals");
        arriving.setDaemon(true);
        arriving.start();
        Thread.sleep((long) (WARM_SECONDS * 1000));
        double before = ProcessUsage.of(process.pid()).cpuSeconds();
        OnLoop.get(vertx, () -> counting = true);
        Thread.sleep((long) (settings.seconds() * 1000));
        OnLoop.get(vertx, () -> counting = false);
        ProcessUsage usage = ProcessUsage.of(process.pid());
        return OnLoop.get(vertx, () -> new Result(startSeconds, startCpu, "", usage,
                (usage.cpuSeconds() - before) * 1e6 / Math.max(1, sent), Percentiles.of(toRuntime),
                Percentiles.of(toCaller), answered, sent));
    }

    private boolean logged(String words) throws IOException {
        return Files.exists(log()) && Files.readString(log()).contains(words);
    }

    private String lastLine() throws IOException {
        List<String> lines = Files.readAllLines(log());
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    private Path log() {
        return folder.resolve("n0.log");
    }

    private void connect() throws Exception {
        var client = OnLoop.get(vertx, () -> vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)));
        for (int i = 0; i < CONNECTIONS; i++) {
            NetSocket socket = client.connect(port, "127.0.0.1").toCompletionStage().toCompletableFuture()
                    .get(5, TimeUnit.SECONDS);
            OnLoop.get(vertx, () -> {
                CallerFrames.Reader reader = new CallerFrames.Reader();
                socket.handler(more -> reader.read(more, this::took));
                return sockets.add(socket);
            });
        }
    }

    /**
     * Requests leave at the times that chance has drawn for them, however late the instance is. A thread of its own
     * waits for them, as the loop's timers are a millisecond apart.
     */
    private void arrive() {
        long due = System.nanoTime();
        while (!over) {
            due += (long) (-StrictMath.log(1 - arrivals.nextDouble()) / settings.rate() * 1e9);
            for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            long intended = due;
            vertx.runOnContext(v -> send(intended));
        }
    }

    private void send(long intended) {
        String ref = String.format("%016x", ++stream);
        refs.put(stream, ref);
        intendedAt.put(ref, intended);
        sent += counting ? 1 : 0;
        byte[] body = (RUN_SECONDS + " 0").getBytes(StandardCharsets.US_ASCII);
        Buffer frame = CallerFrames.request(stream, body,
                "service", PathSettings.className(chance.nextInt(settings.classes())), "ref", ref,
                "since", String.valueOf(System.currentTimeMillis()), "room", "10", "class_rank", "0.9",
                "project", PathSettings.tenantName(chance.nextInt(settings.tenants())));
        sockets.get(stream % sockets.size()).write(frame);
    }

    private void took(Buffer frame) {
        CallerFrames.Answer answer = CallerFrames.answer(frame);
        String ref = answer == null ? null : refs.remove(answer.stream());
        if (ref != null) {
            intendedAt.remove(ref);
            record(endedAt.remove(ref), toCaller);
            answered += counting && answer.code() == 0 ? 1 : 0;
        }
    }

    @Override
    public void close() throws Exception {
        over = true;
        if (process != null) {
            Programs.end(List.of(process));
        }
        OnLoop.get(vertx, () -> {
            runtime.close();
            return null;
        });
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        Programs.delete(folder);
    }
}
