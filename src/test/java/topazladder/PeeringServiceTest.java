package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static topazladder.CallerFrameBuilder.request;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
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
        ServerSocket socket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private ServiceInstance start(StandInLineServer runtime, int port, ExtensionSettings extensionSettings,
            CompletableFuture<Integer> exit) throws IOException {
        ServiceInstance service = ServiceInstanceFixture.start(
                ServiceInstanceFixture.oneClassSettings(port, runtime, 800), extensionSettings, runtime, exit);
        runtime.send(ServiceInstanceFixture.READY_EMPTY);
        return service;
    }

    @Test
    void aPeerThatNeverSpeaksHoldsServingBackNoLongerThanTheBound() throws Exception {
        CompletableFuture<Integer> exit = new CompletableFuture<>();
        int port = LoopbackPorts.free();
        try (StandInLineServer runtime = new StandInLineServer(); ServerSocket silent = listening()) {
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
        try (StandInLineServer runtime = new StandInLineServer();
                ServerSocket silent = listening();
                ServerSocket fresh = listening()) {
            ExtensionSettings old = settings("hedge_after: 0.05 try_for: 600 " + peer("p", silent));
            ServiceInstance service = start(runtime, LoopbackPorts.free(), old, exit);
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
        try (StandInLineServer runtime = new StandInLineServer(); ServerSocket silent = listening()) {
            ServiceInstance service =
                    start(runtime, LoopbackPorts.free(), settings("wait: 60 try_for: 600 " + peer("p", silent)), exit);
            silent.accept();
            service.leave();
            assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        }
    }

    private static void answersOnceItServes(StandInLineServer runtime, int port) throws IOException {
        ServiceInstanceFixture.awaitHealthy(port);
        try (StandInCaller caller = new StandInCaller(port)) {
            caller.send(request(1, "000000000000000a", "read"));
            assertThat(runtime.receive()).isEqualTo("start 000000000000000a read 4");
            runtime.receivePayload(4);
            runtime.send("end 1 000000000000000a PASS 9 2\r\nr1\r\n");
            assertThat(caller.receive()).isEqualTo("17 on 1 code 0 r1");
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
