package topazladder.net.hall;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazladder.config.ServiceSettings.Address;
import topazladder.hall.Saying;

@Timeout(30)
class HallLinksTest {

    /** Members asked for a minute on such a link, and were answered by nobody. */
    @Test
    void aConnectionOnWhichNobodyGreetsIsGivenUpHoweverMuchIsSaidOnIt() throws Exception {
        Vertx vertx = Vertx.vertx();
        try (ServerSocket mute = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            vertx.runOnContext(v -> {
                HallLinks links = new HallLinks(vertx, new Greetings.Who("n1", 1), () -> List.of(new byte[32]),
                        (from, what) -> {}, new LinkTraffic());
                vertx.setPeriodic(1, 50, id -> links.say(new Address("127.0.0.1", mute.getLocalPort()),
                        new Saying.Nudge()));
            });
            try (Socket first = mute.accept(); Socket second = mute.accept()) {
                assertThat(first.getInputStream().read()).as("the end of the first").isEqualTo(-1);
                assertThat(second.isConnected()).isTrue();
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get();
        }
    }
}
