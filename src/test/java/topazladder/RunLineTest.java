package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The {@code run} line of the deploy file, played by {@code /bin/sh -c} as the benches do, against a stand-in
 * {@code java} that writes down its process id and its arguments. The mass bench refuses fork and every program but
 * the one the line ends in, so the line must size the heap by shell builtins and reach {@code java} by {@code exec} in
 * the same process.
 * The search path holds the stand-in alone: any other program the line names is not found, and the shell says so.
 */
@Timeout(30)
class RunLineTest {
    @TempDir
    private Path folder;

    @Test
    void aLimitUnderOneHundredAndTwentyMegabytesGivesAThirdOfItAsHeapWithoutAnyOtherProgram() throws Exception {
        Played played = play("{\"name\":\"n3\",\"stop_ms\":3200,"
                + "\"limits\":{\"cores\":0.5,\"memory_mb\":64,\"sockets\":384},\"settings\":{}}");
        assertThat(played.error).isEmpty();
        assertThat(played.arguments).contains("-Xms21m", "-Xmx21m", "-Djava.net.preferIPv4Stack=true", "serve");
        assertThat(played.javaPid).as("java runs in the shell's own process").isEqualTo(played.shellPid);
    }

    @Test
    void theLimitIsTakenFromLimitsEvenWhenTheSettingsNameAMemoryFirstAndSpacesStandAfterTheColon()
            throws Exception {
        Played played = play("{\n  \"settings\": {\"runtime\": {\"memory_mb\": 512}},\n  \"limits\": {\"cores\": 1.0,\n"
                + "    \"memory_mb\":   96, \"sockets\": 512}\n}");
        assertThat(played.error).isEmpty();
        assertThat(played.arguments).contains("-Xmx32m");
    }

    @Test
    void largeLimitsAndAMissingOrForeignConfigurationGiveFortyMegabytes() throws Exception {
        assertThat(play("{\"limits\":{\"memory_mb\":192}}").arguments).contains("-Xmx40m");
        assertThat(play("{\"name\":\"n7\",\"seed\":\"31\"}").arguments).contains("-Xmx40m");
        Played none = play(null);
        assertThat(none.error).isEmpty();
        assertThat(none.arguments).contains("-Xmx40m");
    }

    @Test
    void underATraceTheLineForksNothingAndExecutesOnlyTheProgramItEndsIn() throws Exception {
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/strace")), "strace is not on this machine");
        Path trace = folder.resolve("trace");
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{\"limits\":{\"memory_mb\":48}}");
        Process traced = run(List.of("/usr/bin/strace", "-f", "-e", "trace=process", "-o", trace.toString(),
                "/bin/sh", "-c", RunLine.read()), config);
        assumeTrue(traced.exitValue() == 0 && Files.exists(trace), "strace may not trace here");
        List<String> calls = Files.readAllLines(trace);
        assertThat(calls).noneMatch(call -> call.matches("^\\d+\\s+(v?fork|clone3?)\\(.*"));
        assertThat(calls.stream().filter(call -> call.contains("execve(")).map(call -> call.replaceAll(", \\[.*", "")))
                .hasSize(2).last().asString().endsWith("/java\"");
    }

    @Test
    void withForkRefusedAsTheMassBenchDoesTheLineStillStartsJavaSizedByTheLimit() throws Exception {
        // strace makes every fork and clone fail with ENOSYS, as the bench's filter does; the line before this one
        // stopped there with "Cannot fork" and status 2, a failed start.
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/strace")), "strace is not on this machine");
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{\"limits\":{\"cores\":0.5,\"memory_mb\":64,\"sockets\":384}}");
        Process probe = run(List.of("/usr/bin/strace", "-o", "/dev/null", "-e", "inject=clone:error=ENOSYS",
                "/bin/true"), null);
        assumeTrue(probe.exitValue() == 0, "strace may not trace here");
        Process refused = run(List.of("/usr/bin/strace", "-f", "-o", "/dev/null", "-e",
                "inject=fork,vfork,clone,clone3:error=ENOSYS", "/bin/sh", "-c", RunLine.read()), config);
        assertThat(new String(refused.getErrorStream().readAllBytes(), StandardCharsets.UTF_8)).isEmpty();
        assertThat(refused.exitValue()).isZero();
        assertThat(Files.readString(folder.resolve("seen"))).contains("-Xmx21m");
    }

    private Played play(String config) throws IOException, InterruptedException {
        Path file = null;
        if (config != null) {
            file = folder.resolve("config.json");
            Files.writeString(file, config);
        }
        Process shell = run(List.of("/bin/sh", "-c", RunLine.read()), file);
        String error = new String(shell.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        String[] seen = Files.readString(folder.resolve("seen")).strip().split(" ", 2);
        return new Played(shell.pid(), Long.parseLong(seen[0]), List.of(seen[1].split(" ")), error);
    }

    private Process run(List<String> command, Path config) throws IOException, InterruptedException {
        Path bin = Files.createDirectories(folder.resolve("bin"));
        Path java = bin.resolve("java");
        Files.writeString(java, "#!/bin/sh\necho \"$$ $*\" > " + folder.resolve("seen") + "\n");
        Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
        ProcessBuilder builder = new ProcessBuilder(command).directory(folder.toFile());
        Map<String, String> environment = builder.environment();
        environment.clear();
        environment.put("PATH", bin.toString());
        if (config != null) {
            environment.put("GW_CONFIG", config.toString());
        }
        Process process = builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null"))).start();
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        return process;
    }

    private record Played(long shellPid, long javaPid, List<String> arguments, String error) {
    }
}
