package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as it is packed: the plain one must not pay for the parts that are off. */
@Timeout(60)
class PackedProgramIT {
    private static final Path JAR = Path.of("target", "topazladder.jar").toAbsolutePath();
    @TempDir
    private Path folder;

    @Test
    void thePlainProgramOpensNoLibraryOfTheOtherPartsAndLoadsNoneOfTheirClasses() throws Exception {
        Path log = folder.resolve("log");
        Process plain = start(log, List.of("-Xlog:class+load:file=" + folder.resolve("classes")), "serve");
        try {
            awaitLine(log, "from=starting to=awaiting-runtime", 2);
            String open;
            try (Stream<Path> all = Files.list(Path.of("/proc", String.valueOf(plain.pid()), "fd"))) {
                open = all.map(PackedProgramIT::target).collect(Collectors.joining("\n"));
            }
            assertThat(open).contains("target/lib").doesNotContain("target/extra");
            assertThat(Files.readString(folder.resolve("classes"))).contains("topazladder.net.ServiceInstance ")
                    .doesNotContain("topazladder.net.peer").doesNotContain("topazladder.warmstart")
                    .doesNotContain("topazladder.lease").doesNotContain("topazladder.consensus")
                    .doesNotContain("topazladder.membership").doesNotContain("topazladder.cluster")
                    .doesNotContain("topazladder.hall")
                    .doesNotContain("topazladder.net.cluster").doesNotContain("io.microraft")
                    .doesNotContain("picocli").doesNotContain("com.google.protobuf");
        } finally {
            plain.destroy();
            plain.waitFor(20, TimeUnit.SECONDS);
        }
        assertThat(plain.exitValue()).isZero();
        try (JarFile jar = new JarFile(JAR.toFile())) {
            assertThat(jar.getManifest().getMainAttributes().getValue("Class-Path")).doesNotContain("extra");
        }
    }

    /** Started by nohup, the Java machine installs no handler: a day of the mass bench was lost without a word. */
    @Test
    void whereSighupIsIgnoredAtTheStartOneLineSaysThatNothingIsReadAnew() throws Exception {
        Path log = folder.resolve("log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; exec \"$0\" -jar \"$1\" serve",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), JAR.toString());
        builder.environment().put("GW_CONFIG", Path.of("deploy", "rehearsal.json").toAbsolutePath().toString());
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + LoopbackPorts.free());
        Process deaf = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        try {
            awaitLine(log, "SIGHUP is ignored, as by nohup", 1);
            awaitLine(log, "from=starting to=awaiting-runtime", 2);
        } finally {
            deaf.destroy();
            deaf.waitFor(20, TimeUnit.SECONDS);
        }
        assertThat(deaf.exitValue()).isZero();
    }

    @Test
    void ownSettingsSwitchOnAPartAndWhatIsWrongInThemIsOneLine() throws Exception {
        Files.writeString(folder.resolve("key"), "sixteen or more bytes\n");
        Path settings = folder.resolve("own.txtpb");
        Files.writeString(settings, "peering { key_file: \"key\" peers { name: \"p\" address: \"127.0.0.1:9\" } }");
        Path log = folder.resolve("log");
        Process serving = start(log, List.of(), "serve", "--settings", settings.toString());
        try {
            awaitLine(log, "asking peers is over: given up after 2 tries", 1);
        } finally {
            serving.destroy();
            serving.waitFor(20, TimeUnit.SECONDS);
        }
        Files.writeString(settings, "peering { tries: -1 }");
        Process wrong = start(folder.resolve("wrong"), List.of(), "serve", "--settings", settings.toString());
        assertThat(wrong.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(wrong.exitValue()).isEqualTo(2);
        assertThat(Files.readAllLines(folder.resolve("wrong"))).hasSize(1)
                .allMatch(l -> l.startsWith("serve: settings: line 1"));
    }

    @Test
    void thePlainProgramCarriesNoNativeLibrarySoItsSocketsAreTheJavaMachinesOwn() throws IOException {
        // Netty's native transports (epoll, io_uring) bring splice, sendfile and io_uring, which the mass bench
        // refuses; without a native library in target/lib, Vert.x stays on NIO. The unix-common jar carries classes
        // only.
        List<String> natives = new ArrayList<>();
        try (Stream<Path> jars = Files.list(JAR.resolveSibling("lib"))) {
            for (Path jar : jars.toList()) {
                try (JarFile file = new JarFile(jar.toFile())) {
                    file.stream().map(entry -> jar.getFileName() + "!" + entry.getName())
                            .filter(name -> name.endsWith(".so") || name.endsWith(".jnilib")).forEach(natives::add);
                }
            }
        }
        assertThat(natives).isEmpty();
    }

    @Test
    void underATraceTheRunLineServesOnIpv4AloneAndNeitherForksNorSplicesNorSendsFiles() throws Exception {
        // The mass bench refuses fork, io_uring, splice and sendfile, and only TCP and UDP over IPv4 are led to it.
        // Without java.net.preferIPv4Stack the Java machine opens every socket as IPv6 (266 in one such start); with
        // it, one IPv6 socket stays: the probe by which the Java machine's net library learns whether IPv6 exists. The
        // two Unix sockets seen are glibc asking nscd for the user, which finds nobody there.
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/strace")), "strace is not on this machine");
        Path trace = folder.resolve("trace");
        Path log = folder.resolve("log");
        ProcessBuilder builder = new ProcessBuilder("/usr/bin/strace", "-f", "-o", trace.toString(), "-e",
                "trace=process,socket,connect,bind,io_uring_setup,splice,sendfile", "/bin/sh", "-c", RunLine.read());
        builder.environment().put("GW_CONFIG", Path.of("deploy", "rehearsal.json").toAbsolutePath().toString());
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + LoopbackPorts.free());
        Process traced = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        try {
            awaitLine(log, "from=starting to=awaiting-runtime", 2);
        } finally {
            long instance = Long.parseLong(Files.readAllLines(trace).get(0).split(" ", 2)[0]);
            ProcessHandle.of(instance).ifPresent(ProcessHandle::destroy);
            traced.waitFor(20, TimeUnit.SECONDS);
        }
        List<String> calls = Files.readAllLines(trace);
        assertThat(calls).filteredOn(c -> c.matches("^\\d+\\s+(v?fork|clone3?)\\(.*") && !c.contains("CLONE_THREAD"))
                .isEmpty();
        assertThat(calls).filteredOn(c -> c.contains("execve(") && c.endsWith("= 0")).hasSize(2);
        assertThat(calls).noneMatch(c -> c.matches("^\\d+\\s+(io_uring_setup|splice|sendfile)\\(.*"));
        assertThat(calls).filteredOn(c -> c.contains("socket(AF_INET6")).hasSizeLessThanOrEqualTo(1);
        assertThat(calls).filteredOn(c -> c.contains("socket(AF_INET,")).isNotEmpty();
        assertThat(calls).filteredOn(c -> c.contains("sa_family=AF_UNIX") && c.endsWith("= 0")).isEmpty();
    }

    @Test
    void noticeWhileItsConfigurationIsStillReadEndsItInOrder() throws Exception {
        Path fifo = folder.resolve("config");
        Process made = new ProcessBuilder("mkfifo", fifo.toString()).start();
        assertThat(made.waitFor(20, TimeUnit.SECONDS) && made.exitValue() == 0).isTrue();
        Process early = start(folder.resolve("log"), List.of(), fifo, "serve");
        try (OutputStream opened = Files.newOutputStream(fifo)) { // once the program has opened its end
            early.destroy();
            assertThat(early.waitFor(20, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(early.exitValue()).isZero();
        assertThat(folder.resolve("log")).isEmptyFile();
    }

    private Process start(Path log, List<String> flags, String... command) throws IOException {
        return start(log, flags, Path.of("deploy", "rehearsal.json").toAbsolutePath(), command);
    }

    private Process start(Path log, List<String> flags, Path config, String... command) throws IOException {
        List<String> line = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Dvertx.disableDnsResolver=true"));
        line.addAll(flags);
        line.addAll(List.of("-jar", JAR.toString()));
        line.addAll(List.of(command));
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().put("GW_CONFIG", config.toString());
        // A port that is free now: the file's own may be some connection's other end by chance.
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + LoopbackPorts.free());
        return builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    private static void awaitLine(Path log, String text, int times) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (Files.exists(log)
                    && Files.readString(log, StandardCharsets.UTF_8).split(text, -1).length > times) {
                return;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("no line '" + text + "' in:\n" + Files.readString(log));
    }

    private static String target(Path link) {
        try {
            return Files.readSymbolicLink(link).toString();
        } catch (IOException e) {
            return ""; // closed since
        }
    }
}
