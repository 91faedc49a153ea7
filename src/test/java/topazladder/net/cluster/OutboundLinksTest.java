package topazladder.net.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazladder.cluster.ClusterMessage;
import topazladder.config.ServiceSettings.Address;

@Timeout(30)
class OutboundLinksTest {

    /**
     * A connection was accepted, but the server never sent its nonce. Messages queued on it kept it in use, so that
     * members got no answer for a minute.
     */
    @Test
    void replacesAConnectionThatIsNeverGreetedHoweverManyMessagesAreQueued() throws Exception {
        Vertx vertx = Vertx.vertx();
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            vertx.runOnContext(v -> {
                OutboundLinks links = new OutboundLinks(vertx, new GreetingCodec.Identity("n1", 1),
                        () -> List.of(new byte[32]), (from, message) -> {}, new LinkTraffic());
                vertx.setPeriodic(1, 50, id -> links.send(new Address("127.0.0.1", silent.getLocalPort()),
                        new ClusterMessage.WakeUp()));
            });
            try (Socket first = silent.accept(); Socket second = silent.accept()) {
                assertThat(first.getInputStream().read()).as("end of the first connection").isEqualTo(-1);
                assertThat(second.isConnected()).isTrue();
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get();
        }
    }
}
