package topazladder.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The gate before the event loop, without sockets. */
class AcceptGateTest {

    @Test
    void acceptingStopsAtTheBoundAndGoesOnAsOneCloses() {
        EmbeddedChannel listening = new EmbeddedChannel(new AcceptGate(2));
        EmbeddedChannel first = new EmbeddedChannel();
        first.freezeTime();
        listening.writeInbound(first);
        assertThat(listening.config().isAutoRead()).isTrue();
        listening.writeInbound(new EmbeddedChannel());
        assertThat(listening.config().isAutoRead()).isFalse();
        first.pipeline().close(); // its own close would cancel what is put off
        assertThat(listening.config().isAutoRead()).isFalse();
        first.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        first.runScheduledPendingTasks();
        assertThat(listening.config().isAutoRead()).isTrue();
        assertThat(listening.inboundMessages()).hasSize(2);
    }
}
