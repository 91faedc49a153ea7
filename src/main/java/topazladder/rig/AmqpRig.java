package topazladder.rig;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import topazladder.broker.Broker;
import topazladder.broker.BrokerServer;
import topazladder.broker.Ledger;
import topazladder.broker.Message.Props;
import topazladder.net.codec.LineReader;
import topazladder.net.codec.MalformedMessageException;

/**
 * What a delivery costs a real process beside what a caller's request costs it: requests whose runs end at once, so
 * that all time is the program's own. A run of many also shows whether memory stays.
 */
public final class AmqpRig {
    private static final int AT_ONCE = 128;
    private static final Pattern PAUSE = Pattern.compile("(\\d+)M->(\\d+)M\\(");

    /**
     * What one way in cost.
     *
     * @param perCoreSecond requests for each second of a core that the process used
     * @param bytesEach allocated for each, by what the collector found
     * @param residentMb at the quarters of the run
     */
    public record Cost(int requests, double seconds, double perCoreSecond, double bytesEach, double[] residentMb) {

        /** One row of the experiment's table in Markdown. */
        public String row(String name) {
            return String.format(Locale.ROOT, "| %s | %d | %.0f | %.0f | %.0f | %.0f %.0f %.0f %.0f |%n", name,
                    requests,
                    requests / seconds, perCoreSecond, bytesEach, residentMb[0], residentMb[1], residentMb[2],
                    residentMb[3]);
        }
    }

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final Path folder;
    private final int port = free();
    private final int runtime = free();
    private long notices;

    private AmqpRig(Path folder) throws IOException {
        this.folder = folder;
    }

    private static int free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    public static Cost deliveries(int count) throws Exception {
        return in(r -> r.consume(count));
    }

    public static Cost callers(int count) throws Exception {
        return in(r -> r.ask(count));
    }

    private interface Way {

        Cost go(AmqpRig rig) throws Exception;
    }

    private static Cost in(Way way) throws Exception {
        Path folder = Files.createTempDirectory("topazladder-rig");
        AmqpRig rig = new AmqpRig(folder);
        try {
            rig.vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true)).connectHandler(rig::runtime)
                    .listen(rig.runtime, "127.0.0.1").toCompletionStage().toCompletableFuture().get(5,
                            TimeUnit.SECONDS);
            return way.go(rig);
        } finally {
            rig.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
            for (File each : folder.toFile().listFiles()) {
                Files.delete(each.toPath());
            }
            Files.delete(folder);
        }
    }

    /** Each run passes at once. */
    private void runtime(NetSocket socket) {
        LineReader reader = new LineReader(4096, w -> w[0].equals("start") ? LineReader.length(w[3]) : -1);
        socket.handler(more -> {
            Buffer out = Buffer.buffer();
            try {
                reader.feed(more.getBytes());
                for (LineReader.Line l = reader.next(); l != null; l = reader.next()) {
                    String[] w = l.words();
                    switch (w[0]) {
                        case "sync" -> out.appendString("ready LOADED 60000\r\n");
                        case "start" -> out.appendString("end " + ++notices + " " + w[1] + " PASS 1 2\r\nok\r\n");
                        case "gauges" -> out.appendString("load " + w[1] + " 0.5 1\r\n");
                        default -> out.appendString("verdict " + w[1] + " PASS\r\n");
                    }
                }
                socket.write(out);
            } catch (MalformedMessageException e) {
                socket.close();
            }
        });
    }

    private Process start(String... more) throws IOException {
        JsonObject config = new JsonObject().put("name", "n1").put("listen", "127.0.0.1:" + port)
                .put("runtime", "127.0.0.1:" + runtime).put("control", "127.0.0.1:9").put("seed", "1").put("stop_ms",
                        1000)
                .put("settings", new JsonObject().put("Classes", new JsonArray().add(new JsonObject().put("Name",
                        "read")
                        .put("Idempotency", "safe").put("TargetNs", 20_000_000_000L).put("DeadlineNs",
                                30_000_000_000L)))
                        .put("Extra", new JsonObject().put("Cores", 256).put("MemoryKb", 10_000_000)
                                .put("OwnStats", new JsonArray().add("core_use").add("on_cores"))));
        Files.writeString(folder.resolve("config.json"), config.encode());
        List<String> line = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-Xms40m", "-Xmx40m", "-XX:TieredStopAtLevel=1", "-Dvertx.disableDnsResolver=true",
                "-Xlog:gc:file=" + folder.resolve("gc.log"), "-jar", Path.of("target", "topazladder.jar")
                        .toAbsolutePath().toString(),
                "serve"));
        line.addAll(List.of(more));
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        return builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
    }

    private Cost consume(int count) throws Exception {
        Files.writeString(folder.resolve("password"), "secret");
        CompletableFuture<Broker> made = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            Broker b = new Broker(() -> System.nanoTime() / 1e9, (s, what) -> vertx.setTimer(Math.max(1,
                    Math.round(s * 1000)),
                    id -> what.run()), new Ledger(false));
            b.declareQueue("work", Map.of(), true, false);
            made.complete(b);
        });
        Broker broker = made.get(5, TimeUnit.SECONDS);
        BrokerServer server = new BrokerServer(vertx, broker, new BrokerServer.Terms("desk", "secret", 10, 131_072),
                new NetServerOptions());
        int at = server.listen().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        Files.writeString(folder.resolve("own.txtpb"), "brokers { name: \"main\" address: \"127.0.0.1:" + at
                + "\" user: \"desk\""
                + " password_file: \"password\" queues { name: \"work\" offering: \"header:offering\" prefetch: "
                + AT_ONCE + " } }");
        int[] published = {0};
        vertx.setPeriodic(1, id -> {
            while (published[0] < count && broker.ready("work") < 2000) {
                broker.publish("", "work", Map.of("offering", "read"), new Props(null, 2, null, null, null, null,
                        "id" + published[0]++, null, null, null, null), new byte[200]);
            }
        });
        Process process = start("--settings", folder.resolve("own.txtpb").toString());
        return measure(process, count, () -> notices);
    }

    /** The same number of requests by the callers' protocol, on eight connections, as many open at once. */
    private Cost ask(int count) throws Exception {
        Process process = start();
        NetClient client = vertx.createNetClient();
        long[] asked = {0};
        for (int i = 0; i < 8; i++) {
            vertx.runOnContext(v -> connect(client, asked, count));
        }
        return measure(process, count, () -> notices);
    }

    private void connect(NetClient client, long[] asked, int count) {
        client.connect(port, "127.0.0.1").onComplete(s -> {
            int[] stream = {0};
            Buffer[] unread = {Buffer.buffer()};
            s.handler(more -> {
                unread[0].appendBuffer(more);
                int from = 0;
                while (unread[0].length() - from >= 4 && unread[0].length() - from - 4 >= unread[0].getInt(from)) {
                    boolean answer = unread[0].getByte(from + 4) == 17;
                    from += 4 + unread[0].getInt(from);
                    if (answer && asked[0] < count) {
                        s.write(request(++stream[0], ++asked[0]));
                    }
                }
                unread[0] = unread[0].getBuffer(from, unread[0].length());
            });
            s.closeHandler(v -> vertx.setTimer(20, id -> connect(client, asked, count)));
            for (int i = 0; i < AT_ONCE / 8; i++) {
                s.write(request(++stream[0], ++asked[0]));
            }
        }, e -> vertx.setTimer(20, id -> connect(client, asked, count)));
    }

    private static Buffer request(int stream, long ref) {
        String[] pairs = {"service", "read", "ref", String.format("%016x", ref), "since",
                String.valueOf(System.currentTimeMillis()), "sender", "4", "room", "2.2", "class_rank", "0.5"};
        Buffer fields = Buffer.buffer();
        for (int i = 0; i < pairs.length; i += 2) {
            fields.appendByte((byte) pairs[i].length()).appendString(pairs[i]).appendShort((short) pairs[i
                    + 1].length())
                    .appendString(pairs[i + 1]);
        }
        return Buffer.buffer().appendInt(6 + fields.length() + 200).appendByte((byte) 16).appendInt(stream)
                .appendByte((byte) (pairs.length / 2)).appendBuffer(fields).appendBytes(new byte[200]);
    }

    private interface Done {

        long soFar();
    }

    /** From a tenth of them on, when the code is compiled. */
    private Cost measure(Process process, int count, Done done) throws Exception {
        try {
            await(done, count / 10);
            double[] resident = new double[4];
            double begun = System.nanoTime() / 1e9;
            Duration used = process.info().totalCpuDuration().orElse(Duration.ZERO);
            long first = done.soFar();
            long pauses = Files.readAllLines(folder.resolve("gc.log")).size();
            for (int quarter = 1; quarter <= 4; quarter++) {
                await(done, first + (count - first) * quarter / 4 - 200);
                resident[quarter - 1] = resident(process.pid());
            }
            long requests = done.soFar() - first;
            double seconds = System.nanoTime() / 1e9 - begun;
            double cpu = process.info().totalCpuDuration().orElse(Duration.ZERO).minus(used).toMillis() / 1000.0;
            return new Cost((int) requests, seconds, requests / cpu, allocated(pauses) / requests, resident);
        } finally {
            process.destroy();
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static void await(Done done, long count) throws InterruptedException {
        for (int i = 0; i < 6000 && done.soFar() < count; i++) {
            Thread.sleep(20);
        }
        if (done.soFar() < count) {
            throw new IllegalStateException("only " + done.soFar() + " of " + count + " came in two minutes");
        }
    }

    private static double resident(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc", String.valueOf(pid), "status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D+", "")) / 1024).sum();
    }

    /** Bytes between the collections since so many lines of its log. */
    private double allocated(long since) throws IOException {
        double sum = 0;
        double after = -1;
        List<String> all = Files.readAllLines(folder.resolve("gc.log"));
        for (String line : all.subList((int) since, all.size())) {
            Matcher m = PAUSE.matcher(line);
            if (m.find()) {
                if (after >= 0) {
                    sum += Double.parseDouble(m.group(1)) - after;
                }
                after = Double.parseDouble(m.group(2));
            }
        }
        return sum * 1024 * 1024;
    }
}
