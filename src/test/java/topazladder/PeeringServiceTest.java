package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazladder.config.ExtensionSettings;
import topazladder.config.ExtensionSettingsFile;
import topazladder.config.InvalidSettingsException;
import topazladder.config.ServiceSettings;
import topazladder.net.ServiceInstance;

/** A service instance whose peers are slow, gone or replaced, and the settings that name them. */
@Timeout(60)
class PeeringServiceTest {
    @TempDir
    private Path folder;

    private ExtensionSettings settings(String peering) throws IOException {
        Files.writeString(folder.resolve("key"), "sixteen or more bytes\n");
        Files.writeString(folder.resolve("short"), "too short\n");
        return ExtensionSettingsFile.of("peering { key_file: \"key\" " + peering + " }", folder);
    }

    private static String peer(String name, ServerSocket at) {
        return "peers { name: \"" + name + "\" address: \"127.0.0.1:" + at.getLocalPort() + "\" } ";
    }

    private static ServerSocket listening() throws IOException {
        ServerSocket s = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        s.setSoTimeout(20_000);
        return s;
    }

    private ServiceInstance start(Peer runtime, int port, ExtensionSettings own, CompletableFuture<Integer> exit)
            throws IOException {
        ServiceInstance service = new ServiceInstance(ServiceSettings.of("""
            {"name":"n1","listen":"127.0.0.1:%d","runtime":"%s","control":"127.0.0.1:9","seed":"1","stop_ms":800,
             "settings":{"Classes":[{"Name":"read","Idempotency":"safe","DeadlineNs":30000000000}],
             "Extra":{"Cores":4,"MemoryKb":100000,"OwnStats":["core_use","on_cores"]}}}"""
                .formatted(port, runtime.address()), Map.of()), own, exit::complete);
        service.start();
        runtime.accept();
        assertThat(runtime.hear()).isEqualTo("sync 0");
        runtime.say("ready EMPTY 1\r\n");
        return service;
    }

    private static int free() throws IOException {
        try (ServerSocket s = listening()) {
            return s.getLocalPort();
        }
    }

    @Test
    void aPeerThatNeverSpeaksHoldsServingBackNoLongerThanTheBound() throws Exception {
        CompletableFuture<Integer> exit = new CompletableFuture<>();
        int port = free();
        try (Peer runtime = new Peer(); ServerSocket silent = listening()) {
            // The try alone would go on for ten minutes.
            ServiceInstance service =
                    start(runtime, port, settings("wait: 0.2 try_for: 600 " + peer("p", silent)), exit);
            silent.accept();
            answersOnceItServes(runtime, port);
            service.leave();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void aNewListInTheMiddleOfAskingLeadsToWhoeverIsNew() throws Exception {
        CompletableFuture<Integer> exit = new CompletableFuture<>();
        try (Peer runtime = new Peer(); ServerSocket silent = listening(); ServerSocket fresh = listening()) {
            ExtensionSettings old = settings("hedge_after: 0.05 try_for: 600 " + peer("p", silent));
            ServiceInstance service = start(runtime, free(), old, exit);
            silent.accept();
            service.reloadOwn(() -> {
                try {
                    return settings("hedge_after: 0.05 try_for: 600 " + peer("q", fresh));
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            try (Socket asked = fresh.accept()) {
                assertThat(asked.isConnected()).isTrue();
            }
            service.leave();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void aNoticeToLeaveWhileServingIsHeldBackEndsIt() throws Exception {
        CompletableFuture<Integer> exit = new CompletableFuture<>();
        try (Peer runtime = new Peer(); ServerSocket silent = listening()) {
            ServiceInstance service =
                    start(runtime, free(), settings("wait: 60 try_for: 600 " + peer("p", silent)), exit);
            silent.accept();
            service.leave();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    private static void answersOnceItServes(Peer runtime, int port) throws IOException {
        for (String said = ""; !said.startsWith("33 on 1 code 0");) {
            try (Stub check = new Stub(port)) {
                said = check.send(Frames.frame(32, 1, Frames.fields())).hear();
            }
        }
        try (Stub stub = new Stub(port)) {
            stub.send(Frames.request(1, "000000000000000a", "read"));
            assertThat(runtime.hear()).isEqualTo("start 000000000000000a read 4");
            runtime.hear(4);
            runtime.say("end 1 000000000000000a PASS 9 2\r\nr1\r\n");
            assertThat(stub.hear()).isEqualTo("17 on 1 code 0 r1");
        }
    }

    @Test
    void defaultsAreThoseOfThePages() throws IOException {
        ExtensionSettings.Peering p = settings("").peering();
        assertThat(p.maxWaitSeconds()).isEqualTo(0.5);
        assertThat(p.maxAttempts()).isEqualTo(6);
        assertThat(p.listen()).isNull();
        assertThat(p.toString()).doesNotContain("sixteen").contains("(secret)");
        assertThat(ExtensionSettingsFile.of("", folder)).isEqualTo(ExtensionSettings.NONE);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
            "peering { key_file: \"none\" } | peering.key_file: the file can't be read: none",
            "peering { } | peering.key_file is missing",
            "peering { key_file: \"short\" } | peering.key_file should name a file of at least 16 bytes: short",
            "peering { key_file: \"key\" wait: -1 } | peering.wait should be a number from 0.0 to 60.0: -1.0",
            "peering { key_file: \"key\" wait: nan } | peering.wait should be a number from 0.0 to 60.0: NaN",
            "peering { key_file: \"key\" listen: \"here\" } | peering.listen should be like 127.0.0.1:4100: here",
            "peering { key_file: \"key\" peers { address: \"127.0.0.1:1\" } } | peering.peers[0].name should be a"
                    + " word: ''",
            "peering { key_file: \"key\" leave_out: \"WEATHER\" } | peering.leave_out should be one of [RUN_TIME,"
                    + " CALLS_IN_HAND, OUTGOING]: WEATHER",
            "machine { core_speed: -2 } | machine.core_speed should be a number from 0.0 to 1000.0: -2.0",
            "machine { weather: 1 } | settings: line 1: 1:11: Input contains unknown fields and/or extensions:"})
    void whatIsWrongIsNamedByItsKey(String text, String error) throws IOException {
        settings("");
        assertThatThrownBy(() -> ExtensionSettingsFile.of(text, folder)).isInstanceOf(InvalidSettingsException.class)
                .hasMessageStartingWith(error);
    }
}
