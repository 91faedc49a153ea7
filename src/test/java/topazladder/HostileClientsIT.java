package topazladder;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import topazladder.HostileClients.Habit;
import topazladder.ServingRuntime.Start;

/** The packed program between a sound caller and clients that harm it, these in a process of their own. */
@Timeout(120)
class HostileClientsIT {
    /** The limit of a scored day. */
    private static final int MEMORY_MEGABYTES = 192;
    /** The run line gives the heap a third of it. */
    private static final int SMALL_MEMORY_MEGABYTES = 48;
    private static final int RUN_MILLIS = 5;
    private static final int LONG_RUN_MILLIS = 400;
    private static final Pattern LEFT = Pattern.compile("left round=(\\d+) at=(\\d+)");
    private static final int CONNECTIONS = 700;
    private static final double SECONDS = 4;
    /** The deadline of the settings, its slack, and what the protocol adds on sockets. */
    private static final double LATEST_ANSWER_MILLIS = 4600 + 80 + 50;

    /** The target of the settings: what is served within it is of full value. */
    private static final double TARGET_MILLIS = 1800;

    @TempDir
    private Path folder;

    // Starts of messages held by hundreds of connections filled the heap: the process ended, or answered nobody.
    @ParameterizedTest
    @EnumSource(names = {"SLOW_LARGE_REQUEST", "HALF_LARGE_REQUEST", "MANY_FIELDS_UNFINISHED"})
    void messagesThatNeverComeWholeOnHundredsOfConnectionsLeaveASmallHeapRoom(Habit habit) throws Exception {
        try (ServedProgram program = new ServedProgram(folder, SMALL_MEMORY_MEGABYTES, RUN_MILLIS)) {
            SoundCaller.Report report = harm(program, habit);
            assertThat(report.maxMillis()).isLessThan(LATEST_ANSWER_MILLIS);
        }
    }

    // One connection's messages were all read before anybody else's: others were answered late, or turned away.
    @ParameterizedTest
    @EnumSource(names = {"HEALTH_CHECKS", "HEALTH_CHECKS_UNREAD", "DEEP_HEALTH_CHECKS", "CANCELLATIONS",
            "REQUESTS_CANCELLED"})
    void messagesAtFullSpeedOnOneConnectionCostOthersNoTime(Habit habit) throws Exception {
        try (ServedProgram program = new ServedProgram(folder, MEMORY_MEGABYTES, RUN_MILLIS)) {
            SoundCaller.Report report = harm(program, habit);
            assertThat(report.maxMillis()).isLessThan(TARGET_MILLIS);
            assertThat(report.served()).as(report.toString()).isEqualTo(report.sent());
            assertThat(program.peakMegabytes()).isLessThan(MEMORY_MEGABYTES);
        }
    }

    // Keys that were ever new filled the heap: each was kept for its window after its run, as long as it had come.
    @ParameterizedTest
    @EnumSource(names = {"LONG_KEYS_PACED", "KEYS_PACED"})
    void everNewKeysAtFullSpeedOnOneConnectionLeaveTheHeapRoom(Habit habit) throws Exception {
        try (ServedProgram program = new ServedProgram(folder, SMALL_MEMORY_MEGABYTES, 1)) {
            SoundCaller.Report report = harm(program, habit);
            assertThat(report.maxMillis()).isLessThan(LATEST_ANSWER_MILLIS);
        }
    }

    // What a caller had sent when it left ran a second time when it came again with it, under the same ids.
    @ParameterizedTest
    @EnumSource(names = {"CLOSE_AND_RETURN", "RESET_AND_RETURN"})
    void requestThatRanRunsNoSecondTimeWhenItsCallerComesAgain(Habit habit) throws Exception {
        try (ServedProgram program = new ServedProgram(folder, MEMORY_MEGABYTES, RUN_MILLIS)) {
            leaveAgainAndAgain(program, habit);
            assertThat(program.runtime.starts()).extracting(Start::requestId).doesNotHaveDuplicates();
            assertThat(program.harmReport()).doesNotContain("unanswered");
        }
    }

    /** Held requests would begin as the first runs end: none does where its caller has gone by then. */
    @ParameterizedTest
    @EnumSource(names = {"CLOSE", "RESET"})
    void requestsOfACallerThatHasLeftAreNotRunAsCoresComeFree(Habit habit) throws Exception {
        try (ServedProgram program = new ServedProgram(folder, MEMORY_MEGABYTES, LONG_RUN_MILLIS)) {
            Map<Long, Long> leftAt = leaveAgainAndAgain(program, habit);
            assertThat(program.runtime.starts()).allSatisfy(start -> {
                long round = Long.parseLong(start.requestId().substring(0, Integer.SIZE / 4), 16);
                assertThat(start.atUnixMillis()).isLessThan(leftAt.get(round) + LONG_RUN_MILLIS);
            });
        }
    }

    /** Returns when the clients left in each round, in Unix milliseconds. */
    private static Map<Long, Long> leaveAgainAndAgain(ServedProgram program, Habit habit) throws Exception {
        program.runtime.record();
        Process clients = program.harm(habit, 1, SECONDS);
        assertThat(clients.waitFor(60, TimeUnit.SECONDS)).isTrue();
        assertThat(program.runtime.starts()).isNotEmpty();
        Map<Long, Long> leftAt = new HashMap<>();
        LEFT.matcher(program.harmReport()).results().forEach(
                left -> leftAt.put(Long.parseLong(left.group(1)), Long.parseLong(left.group(2))));
        assertThat(leftAt).hasSizeGreaterThan(1);
        return leftAt;
    }

    private SoundCaller.Report harm(ServedProgram program, Habit habit) throws Exception {
        try (SoundCaller caller = new SoundCaller(program.port)) {
            Process clients = program.harm(habit, CONNECTIONS, SECONDS);
            assertThat(clients.waitFor(60, TimeUnit.SECONDS)).isTrue();
            SoundCaller.Report report = caller.finish();
            String seen = report + " " + program.harmReport();
            Files.writeString(Path.of("target", "hostile-clients.txt"), seen + System.lineSeparator(),
                    StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            assertThat(program.isAlive()).as(seen + "\n" + program.log()).isTrue();
            assertThat(program.log()).as(seen).doesNotContain("OutOfMemoryError");
            assertThat(report.sent()).as(seen).isGreaterThan(50);
            assertThat(report.unanswered()).as(seen).isZero();
            return report;
        }
    }
}
