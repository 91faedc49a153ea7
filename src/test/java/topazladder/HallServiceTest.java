package topazladder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import topazladder.cluster.ClusterMessage;
import topazladder.cluster.ClusterMessage.Command;
import topazladder.cluster.ClusterMessage.Command.Kind;
import topazladder.config.ExtensionSettings;
import topazladder.config.ExtensionSettingsFile;
import topazladder.config.InvalidSettingsException;
import topazladder.config.ServiceSettings.Address;
import topazladder.hall.proto.Greeting;
import topazladder.hall.proto.HallMessage;
import topazladder.hall.proto.Nothing;
import topazladder.net.ServiceInstance;
import topazladder.net.cluster.OperatorClient;
import topazladder.net.cluster.VoterStoreCreator;
import topazladder.net.codec.HallMessages;
import topazladder.net.codec.PeerFrames;
import topazladder.net.codec.PeerFrames.Seal;
import topazladder.net.codec.PeerFrames.Type;

/**
 * A service instance that is its hall's one voter: its duty, the link between members, and what comes there that
 * should not.
 */
@Timeout(60)
class HallServiceTest {
    private static final byte[] KEY = "sixteen or more bytes".getBytes(StandardCharsets.US_ASCII);

    @TempDir
    private Path folder;
    private StandInLineServer runtime;
    private ServerSocket touched;
    private BufferedReader touches;
    private ServiceInstance service;
    private int port;
    private final CompletableFuture<Integer> exit = new CompletableFuture<>();

    private ExtensionSettings settings(String hall) throws IOException {
        Files.write(folder.resolve("key"), KEY);
        return ExtensionSettingsFile.of(
                "peering { key_file: \"key\" listen: \"127.0.0.1:" + port + "\" } hall { " + hall + " }",
                folder);
    }

    @BeforeEach
    void start() throws Exception {
        port = LoopbackPorts.free();
        touched = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        touched.setSoTimeout(20_000);
        ExtensionSettings own = settings("voters: \"n1\" folder: \"voter\" heartbeat: 0.1"
                + " duties { name: \"price-clock\" lease: 1"
                + " touch { address: \"127.0.0.1:" + touched.getLocalPort() + "\" every: 0.02 } }");
        VoterStoreCreator.create("n1", own.cluster(), 0);
        runtime = new StandInLineServer();
        service = ServiceInstanceFixture.start(
                ServiceInstanceFixture.oneClassSettings(LoopbackPorts.free(), runtime, 2000), own, runtime, exit);
        runtime.send(ServiceInstanceFixture.READY_EMPTY);
        touches = new BufferedReader(new InputStreamReader(touched.accept().getInputStream(),
                StandardCharsets.US_ASCII));
    }

    @AfterEach
    void end() throws Exception {
        service.leave();
        assertThat(exit.get(20, TimeUnit.SECONDS)).isZero();
        runtime.close();
        touched.close();
    }

    private long token() throws IOException {
        String[] w = touches.readLine().split(" ");
        assertThat(w).startsWith("touch", "price-clock");
        return Long.parseLong(w[2]);
    }

    private ClusterMessage.CommandResponse ask(byte[] key, Kind kind, String duty, String text)
            throws InterruptedException {
        return OperatorClient.send(new Address("127.0.0.1", port), key, new Command(kind, duty, text));
    }

    @Test
    void itHoldsItsDutyUnderATokenAndAnOperatorHaltsAndResumesIt() throws Exception {
        assertThat(token()).isEqualTo(1);
        JsonObject status = new JsonObject(ask(KEY, Kind.STATUS, "", "").text());
        assertThat(status.getJsonObject("group").getString("leader")).isEqualTo("n1");
        assertThat(ask(KEY, Kind.HALT, "price-clock", "by a test").done()).isTrue();
        assertThat(ask(KEY, Kind.HALT, "price-clock", "by a test").done()).as("twice does no harm").isTrue();
        assertThat(ask(KEY, Kind.HALT, "no-such", "").text()).isEqualTo("there is no duty no-such");
        JsonObject duty = duty();
        while (duty.getString("holder") != null) {
            duty = duty();
        }
        assertThat(duty.getString("halted")).isEqualTo("by a test");
        assertThat(ask(KEY, Kind.RESUME, "price-clock", "").done()).isTrue();
        touches = new BufferedReader(new InputStreamReader(touched.accept().getInputStream(),
                StandardCharsets.US_ASCII));
        assertThat(token()).isEqualTo(2);
    }

    private JsonObject duty() throws InterruptedException {
        return new JsonObject(ask(KEY, Kind.DUTIES, "", "").text()).getJsonArray("duties").getJsonObject(0);
    }

    @Test
    void whoeverHasAnotherKeyIsNotAnsweredAndChangesNothing() throws Exception {
        ClusterMessage.CommandResponse told =
                ask("another key of enough bytes".getBytes(StandardCharsets.US_ASCII), Kind.HALT,
                        "price-clock", "");
        assertThat(told.done()).isFalse();
        assertThat(told.text()).contains("no answer");
        assertThat(duty().getString("halted")).isNull();
    }

    /** A link made by hand, on which frames can be wrong. */
    private final class Link implements AutoCloseable {
        private final Socket socket = new Socket("127.0.0.1", port);
        private final DataInputStream in = new DataInputStream(socket.getInputStream());
        private final byte[] nonce = new byte[PeerFrames.NONCE];
        private final Seal seal;
        private final ByteArrayOutputStream sent = new ByteArrayOutputStream();

        Link() throws IOException {
            socket.setSoTimeout(20_000);
            byte[] hello = new byte[in.readInt()];
            in.readFully(hello);
            byte[] theirs = java.util.Arrays.copyOfRange(hello, 5, 5 + PeerFrames.NONCE);
            seal = new Seal(KEY, theirs, nonce);
        }

        Link greeted() throws IOException {
            ByteArrayOutputStream payload = new ByteArrayOutputStream();
            payload.writeBytes(nonce);
            payload.writeBytes(Greeting.newBuilder().setName("n2").setLife(1).setSchema(1).build().toByteArray());
            say(seal.frame(Type.MEMBER, 0, payload.toByteArray()));
            return this;
        }

        void say(byte[] frame) throws IOException {
            sent.writeBytes(frame);
            socket.getOutputStream().write(frame);
        }

        void isClosedOn() throws IOException {
            while (true) {
                try {
                    if (in.read() < 0) {
                        return;
                    }
                } catch (java.net.SocketException e) {
                    return; // reset, as bytes of ours were left unread
                }
            }
        }

        /** Asks for the status on this link and waits for the first frame that comes back. */
        void isHeard(int number) throws IOException {
            say(seal.frame(Type.SAY, number, HallMessages.bytes(new ClusterMessage.CommandRequest(9,
                    new Command(Kind.STATUS, "", "")))));
            byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            assertThat(frame[0]).isIn((byte) Type.HEARD.ordinal(), (byte) Type.TOLD.ordinal());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static byte[] nudge() {
        return HallMessages.bytes(new ClusterMessage.WakeUp());
    }

    @Test
    void aFrameThatComesTwiceOrOutOfItsPlaceEndsItsConnectionAlone() throws Exception {
        try (Link good = new Link().greeted(); Link twice = new Link().greeted(); Link gap = new Link().greeted()) {
            byte[] frame = twice.seal.frame(Type.SAY, 1, nudge());
            twice.say(frame);
            twice.say(frame);
            twice.isClosedOn();
            gap.say(gap.seal.frame(Type.SAY, 2, nudge()));
            gap.isClosedOn();
            good.isHeard(1);
        }
    }

    @Test
    void aRecordedConnectionIsWorthNothingOnAnother() throws Exception {
        byte[] recorded;
        try (Link link = new Link().greeted()) {
            link.say(link.seal.frame(Type.SAY, 1, HallMessages.bytes(new ClusterMessage.CommandRequest(1,
                    new Command(Kind.STATUS, "", "")))));
            recorded = link.sent.toByteArray();
        }
        try (Link replay = new Link()) {
            replay.say(recorded);
            replay.isClosedOn();
        }
    }

    @Test
    void noiseAndWhatNeedsANewerVersionEndTheirConnectionAndNoMore() throws Exception {
        long before = token();
        try (Link noise = new Link(); Link newer = new Link().greeted(); Link unknown = new Link().greeted()) {
            noise.say("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            noise.isClosedOn();
            newer.say(newer.seal.frame(Type.SAY, 1, HallMessage.newBuilder().setSchema(9).setReadableFrom(9)
                    .setNudge(Nothing.getDefaultInstance()).build().toByteArray()));
            newer.isClosedOn();
            // Of a newer version too, but with what this one may pass over.
            unknown.say(unknown.seal.frame(Type.SAY, 1, HallMessage.newBuilder().setSchema(9).setReadableFrom(1).build()
                    .toByteArray()));
            unknown.isHeard(2);
        }
        assertThat(token()).isEqualTo(before);
    }

    @Test
    void aFolderThatIsFoundedIsNotFoundedAgainButFormedAnew() throws Exception {
        ExtensionSettings own = settings("voters: \"n1\" folder: \"other\"");
        VoterStoreCreator.create("n1", own.cluster(), 0);
        assertThatThrownBy(() -> VoterStoreCreator.create("n1", own.cluster(), 0))
                .isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining("--formed 1");
        assertThat(VoterStoreCreator.create("n1", own.cluster(), 1)).contains("formed=1");
        assertThatThrownBy(() -> VoterStoreCreator.create("n9", own.cluster(), 0))
                .isInstanceOf(InvalidSettingsException.class);
    }
}
