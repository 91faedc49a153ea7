package topazladder.rig;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Processes of the packed program in one folder: their configurations, ports, starts and ends. */
final class Programs {
    private static final int END_SECONDS = 4;
    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 32_000;

    private final Path folder;
    private final Path jar = jar();

    Programs(Path folder) {
        this.folder = folder;
    }

    /** The Java machine that this process runs on. */
    static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** The packed program. */
    static Path jar() {
        Path jar = Path.of(System.getProperty("topazladder.jar", "target/topazladder.jar")).toAbsolutePath();
        if (!Files.exists(jar)) {
            throw new IllegalStateException("target/topazladder.jar is missing; build it first");
        }
        return jar;
    }

    Path folder() {
        return folder;
    }

    /**
     * Ports of loopback that nobody listens on now, below those that the system gives to outgoing connections: one of
     * these would be taken by a connection of any process before its owner comes to listen on it.
     */
    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        try {
            for (int i = 0; i < count;) {
                int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
                try {
                    ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    held.add(s);
                    ports[i++] = port;
                } catch (BindException e) {
                    continue; // another's: the next one may be free
                }
            }
        } finally {
            for (ServerSocket s : held) {
                s.close();
            }
        }
        return ports;
    }

    /** Writes the configuration that {@link #start} reads under the name. */
    void configure(String name, JsonObject config) throws IOException {
        Files.writeString(folder.resolve(name + ".json"), config.encode());
    }

    /** Runs it with the settings, its output behind what was said before under the name. */
    Process start(String name, String settings, int heapMb) throws IOException {
        return start(name, settings, heapMb, List.of());
    }

    /** @param before words of the command before the program's own, as those that pin it to a core */
    Process start(String name, String settings, int heapMb, List<String> before) throws IOException {
        Path file = folder.resolve(name + ".txtpb");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>(before);
        command.addAll(List.of(java(), "-XX:+UseSerialGC", "-Xmx" + heapMb + "m",
                "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Djava.net.preferIPv4Stack=true",
                "-Dvertx.disableDnsResolver=true", "-jar", jar.toString(), "serve", "--settings", file.toString()));
        return start(name, command);
    }

    /** Runs it without own settings, by the memory flags of the deploy file's run line but for the heap. */
    Process startPlain(String name, int heapMb) throws IOException {
        List<String> command = List.of(java(), "-XX:+UseSerialGC", "-Xms" + heapMb + "m", "-Xmx" + heapMb + "m",
                "-XX:MaxMetaspaceSize=32m", "-XX:MaxDirectMemorySize=32m", "-XX:TieredStopAtLevel=1", "-Xshare:auto",
                "-Djava.net.preferIPv4Stack=true", "-Dvertx.disableDnsResolver=true", "-jar", jar.toString(), "serve");
        return start(name, command);
    }

    private Process start(String name, List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", folder.resolve(name + ".json").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        return builder.start();
    }

    /** In order where they go in time. */
    static void end(List<Process> processes) throws InterruptedException {
        processes.forEach(Process::destroy);
        for (Process p : processes) {
            if (!p.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                p.destroyForcibly().waitFor();
            }
        }
    }

    static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : (Iterable<Path>) all.sorted(Comparator.reverseOrder())::iterator) {
                Files.deleteIfExists(each);
            }
        }
    }

    /** The deployment of the operators' brief with all times at that scale. */
    static JsonObject config(String name, int port, int runtime, int index, int control, double cores, double scale) {
        long soft = (long) (1.8e9 * scale);
        long outer = (long) (4.6e9 * scale);
        JsonArray classes = new JsonArray()
                .add(requestClass("stock-check", "safe", soft, outer, 1))
                .add(requestClass("price-push", "safe", soft, outer, 2))
                .add(requestClass("order-place", "keyed", soft, outer, 10).put("WindowNs", 13_671_000_000L));
        return new JsonObject().put("name", name).put("listen", "127.0.0.1:" + port)
                .put("runtime", "127.0.0.1:" + runtime).put("index", "127.0.0.1:" + index)
                .put("control", "127.0.0.1:" + control).put("seed", "1").put("stop_ms", 2000)
                .put("limits", new JsonObject().put("sockets", 512))
                .put("settings", new JsonObject().put("Classes", classes).put("Extra", new JsonObject()
                        .put("CallsByClass", new JsonArray(Arrays.asList(true, true, true)))
                        .put("ClassSkipWorth", new JsonArray().add(0.5).add(0).add(0)).put("Below", "common")
                        .put("CallsOut", 10).put("CallsOverNs", (long) (5e9 * scale)).put("Cores", cores)
                        .put("MemoryKb", 200_000).put("RunFactor", 8).put("KeyKb", 10).put("Say", "min_rank")
                        .put("HeededNs", (long) (1e9 * scale)).put("OwnStats", new JsonArray().add("core_use")
                                .add("on_cores")))
                        .put("PolicyLimits", new JsonObject().put("RetryAfter", true)
                                .put("MaxRetryAfterNs", 1_000_000_000L))
                        .put("Safety", new JsonObject().put("AnswerSlackNs", 100_000_000L)
                                .put("DrainGraceNs", 1_000_000_000L).put("FallMultiple", 8).put("ColdFrom", 0.25)
                                .put("WarmAfterNs", (long) (16e9 * scale))));
    }

    private static JsonObject requestClass(String name, String repeats, long soft, long outer, double payoff) {
        return new JsonObject().put("Name", name).put("Idempotency", repeats).put("TargetNs", soft)
                .put("DeadlineNs", outer).put("Importance", payoff);
    }
}
