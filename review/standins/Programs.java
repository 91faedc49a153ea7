package standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Processes of the program, started with the {@code run} command of the deploy file, and a folder for their files. */
final class Programs implements AutoCloseable {
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final List<Process> started = new ArrayList<>();

    Programs() throws IOException {
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    Path folder() {
        return folder;
    }

    /** The command of the deploy file, as a shell runs it. */
    String run() throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no run line");
        }
        return line.group(1);
    }

    /** Starts a service instance; {@code more} is appended to the command. */
    synchronized Process serve(String name, String config, String more) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        return start(name, run() + more, Map.of("GW_CONFIG", file.toString(), "GW_NAME", name));
    }

    synchronized Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.directory(root.toFile());
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        Process process = builder.start();
        started.add(process);
        return process;
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Ports of the loopback interface on which nobody listens now, below those of outgoing connections. */
    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count;) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            try {
                held.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
                ports[i++] = port;
            } catch (IOException e) {
                continue; // taken: the next one may be free
            }
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }

    /** Ends all that was started here, in order where that works, and deletes the folder. */
    @Override
    public synchronized void close() {
        try {
            for (Process process : started) {
                if (process.isAlive()) {
                    signal(process, "CONT");
                    process.destroy();
                }
            }
            long until = System.nanoTime() + 4_000_000_000L;
            for (Process process : started) {
                if (!process.waitFor(Math.max(1, until - System.nanoTime()), TimeUnit.NANOSECONDS)) {
                    process.destroyForcibly().waitFor();
                }
            }
            started.clear();
            if (Files.exists(folder) && System.getenv("KEEP_LOGS") == null) {
                try (var all = Files.walk(folder)) {
                    for (Path each : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                        Files.deleteIfExists(each);
                    }
                }
            }
        } catch (IOException e) {
            System.err.println("temporary files are left: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
