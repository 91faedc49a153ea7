package topazladder;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The packed program as the deploy file starts it, with a runtime that serves each run after a while. */
final class ServedProgram implements AutoCloseable {
    private static final int END_SECONDS = 20;
    private static final double KILOBYTES_PER_MEGABYTE = 1024;

    final int port = LoopbackPorts.free();
    final ServingRuntime runtime;
    private final Path folder;
    private final Process process;
    private final int memoryMegabytes;

    /**
     * Starts it, and returns once it is healthy.
     *
     * @param memoryMegabytes the limit in its configuration
     * @param runMillis how long each run takes
     */
    ServedProgram(Path folder, int memoryMegabytes, int runMillis) throws Exception {
        this.folder = folder;
        this.memoryMegabytes = memoryMegabytes;
        runtime = new ServingRuntime(runMillis);
        Path config = folder.resolve("config.json");
        Files.writeString(config, """
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"%s","control":"127.0.0.1:9","seed":"1","stop_ms":3000,
             "limits":{"cores":1.0,"memory_mb":%d,"sockets":1024},
             "settings":{"Classes":[
              {"Name":"read","Idempotency":"safe","TargetNs":1800000000,"DeadlineNs":4600000000,"Importance":1.0},
              {"Name":"place","Idempotency":"keyed","TargetNs":1800000000,"DeadlineNs":4600000000,
               "WindowNs":13671000000,"Importance":10.0},
              {"Name":"invoice","Idempotency":"unsafe","TargetNs":1800000000,"DeadlineNs":4600000000,
               "Importance":10.0}],
             "Orgs":[{"Name":"acme","Share":1.0}],
             "Extra":{"Cores":6,"MemoryKb":260000.0,"RunFactor":8.0,"Below":"none","CancelSeen":true,
              "KeepaliveMaxNs":30000000000,"OwnStats":["core_use","on_cores"],"Say":"min_rank"},
             "Safety":{"AnswerSlackNs":80000000,"DrainGraceNs":2000000000,"FallMultiple":8.0,
              "OverloadForNs":3000000000}}}
            """.formatted(port, runtime.address(), memoryMegabytes));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", RunLine.read());
        builder.environment().put("GW_CONFIG", config.toString());
        process = builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
        runtime.open();
        awaitListening();
        ServiceInstanceFixture.awaitHealthy(port);
    }

    private void awaitListening() throws Exception {
        for (int i = 0; i < 200 && !log().contains("to=serving"); i++) {
            Thread.sleep(50);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    /** The most memory it ever held, in MB; 0 where it has ended. */
    double peakMegabytes() throws IOException {
        Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        return Files.readAllLines(status).stream().filter(line -> line.startsWith("VmHWM"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / KILOBYTES_PER_MEGABYTE)
                .findFirst().orElse(0);
    }

    int memoryMegabytes() {
        return memoryMegabytes;
    }

    /** Starts clients in a process of their own; see {@link HostileClients}. */
    Process harm(HostileClients.Habit habit, int connections, double seconds) throws IOException {
        List<String> command = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx256m",
                "-cp", System.getProperty("java.class.path"), HostileClients.class.getName(), String.valueOf(port),
                habit.name(), String.valueOf(connections), String.valueOf(seconds));
        return new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve("clients").toFile()).start();
    }

    /** What the clients said as they ended. */
    String harmReport() throws IOException {
        return Files.readString(folder.resolve("clients")).trim();
    }

    @Override
    public void close() throws Exception {
        process.destroy();
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
        runtime.close();
    }
}
