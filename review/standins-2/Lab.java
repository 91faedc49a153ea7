import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * What all cases share: a temporary folder, free ports, the record, and processes of the program, started with the
 * command of the deploy file and ended with the case.
 */
final class Lab implements AutoCloseable {
    /** Thrown where the case could not run, which says nothing about the rule. */
    static final class NotRun extends RuntimeException {
        NotRun(String why) {
            super(why);
        }
    }

    interface Case {

        /** Returns what was broken, or null where the rule held. */
        String play(Lab lab) throws Exception;
    }

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> parts = new ArrayList<>();

    private Lab(Path record) throws IOException {
        folder = Files.createTempDirectory("topazladder-case-");
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
    }

    /** Plays a case and ends with its status: 1 broken, 0 held, 2 could not run. */
    static void run(String[] args, Case what) {
        int status = 2;
        try {
            Lab lab = new Lab(Path.of(args[0]));
            Thread end = new Thread(lab::close);
            Runtime.getRuntime().addShutdownHook(end);
            Thread watchdog = new Thread(() -> {
                try {
                    Thread.sleep(112_000);
                    lab.note("could not run: not over after 112 s");
                    lab.close();
                    Runtime.getRuntime().halt(2);
                } catch (InterruptedException e) {
                    return;
                }
            });
            watchdog.setDaemon(true);
            watchdog.start();
            try {
                lab.note("trouble " + (lab.trouble ? "on" : "off"));
                String broken = what.play(lab);
                lab.note(broken == null ? "RESULT held" : "RESULT broken: " + broken);
                status = broken == null ? 0 : 1;
            } catch (Throwable e) {
                lab.note("RESULT could not run: " + e);
                for (StackTraceElement at : e.getStackTrace()) {
                    lab.note("    at " + at);
                }
            }
            lab.close();
        } catch (IOException e) {
            System.err.println(e);
        }
        Runtime.getRuntime().halt(status);
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Writes a line with its time to the record, and to standard output. */
    synchronized void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f  %s", now(), text);
        record.println(line);
        System.out.println(line);
    }

    void keep(AutoCloseable part) {
        parts.add(part);
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    /** A control plane: it takes reports and answers none. */
    String controlPlane() throws IOException {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0));
        keep(socket);
        Thread reader = new Thread(() -> {
            byte[] bytes = new byte[512];
            try {
                while (true) {
                    socket.receive(new java.net.DatagramPacket(bytes, bytes.length));
                }
            } catch (IOException e) {
                return;
            }
        });
        reader.setDaemon(true);
        reader.start();
        return "127.0.0.1:" + socket.getLocalPort();
    }

    Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    private String runLine() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new NotRun("deploy/balancer.toml has no run");
    }

    /** Starts an instance as the deploy file does; its log goes to NAME.log in the temporary folder. */
    Process serve(String name, Path config, Path settings) throws IOException {
        return start(name, Map.of("GW_CONFIG", config.toString(), "GW_NAME", name),
                runLine() + (settings == null ? "" : " --settings " + settings));
    }

    Process start(String name, Map<String, String> environment, String command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().putAll(environment);
        Process p = builder.start();
        processes.add(p);
        note("started " + name);
        return p;
    }

    /** Runs one of the program's commands and returns what it printed. */
    String command(Map<String, String> environment, String... words) throws Exception {
        List<String> all = new ArrayList<>(List.of("java", "-jar", "target/topazladder.jar"));
        all.addAll(List.of(words));
        ProcessBuilder builder = new ProcessBuilder(all).directory(root.toFile());
        builder.environment().putAll(environment);
        Path out = Files.createTempFile(folder, "command", ".out");
        builder.redirectErrorStream(true).redirectOutput(out.toFile());
        Process p = builder.start();
        processes.add(p);
        if (!p.waitFor(20, TimeUnit.SECONDS)) {
            p.destroyForcibly();
        }
        return Files.readString(out);
    }

    /** Sends SIGTERM, or SIGKILL. */
    void signal(Process p, String name, String what) {
        note("SIG" + what + " to " + name);
        if (what.equals("KILL")) {
            p.destroyForcibly();
        } else {
            p.destroy();
        }
    }

    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Copies the lines of an instance's log that hold any of these words to the record. */
    void noteLog(String name, String... words) throws IOException {
        for (String line : log(name).split("\n")) {
            if (words.length == 0 || Stream.of(words).anyMatch(line::contains)) {
                note(name + " logged: " + line.replace(folder.toString(), "FOLDER").replace(root.toString(), "ROOT"));
            }
        }
    }

    static void sleep(double seconds) throws InterruptedException {
        Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
    }

    boolean within(double seconds, BooleanSupplier what) throws InterruptedException {
        double until = now() + seconds;
        while (!what.getAsBoolean()) {
            if (now() > until) {
                return false;
            }
            Thread.sleep(10);
        }
        return true;
    }

    void need(double seconds, String what, BooleanSupplier is) throws InterruptedException {
        if (!within(seconds, is)) {
            throw new NotRun("not within " + seconds + " s: " + what);
        }
    }

    @Override
    public synchronized void close() {
        for (Process p : processes) {
            p.destroyForcibly();
        }
        for (Process p : processes) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                break;
            }
        }
        processes.clear();
        for (AutoCloseable part : parts) {
            try {
                part.close();
            } catch (Exception e) {
                continue; // it ends with this process
            }
        }
        parts.clear();
        if ("1".equals(System.getenv("KEEP"))) {
            System.out.println("kept " + folder);
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            return; // gone already
        }
    }

    /** A configuration as the platform's page has it; the classes and the extra settings are given as JSON. */
    Path config(String name, int listen, String runtime, String control, int stopMs, String classes, String extra)
            throws IOException {
        return write(name + ".json", """
            {"name":"%s","listen":"127.0.0.1:%d","runtime":"%s","control":"%s","seed":"%x","stop_ms":%d,
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "settings":{"Classes":[%s],"Extra":{%s,"MemoryKb":260000.0,"OwnStats":["core_use","on_cores"]},
             "Safety":{"DrainGraceNs":2000000000,"AnswerSlackNs":80000000}}}
            """.formatted(name, listen, runtime, control, System.nanoTime() & 0xffffff, stopMs, classes, extra));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
