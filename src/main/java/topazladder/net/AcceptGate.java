package topazladder.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Holds back the thread that accepts connections while so many are open. It goes on though the event loop that owns
 * them stands still, and would take the descriptors that links and calls need; held back, the newcomers wait where
 * the system keeps them until the event loop has made room.
 */
@Sharable
final class AcceptGate extends ChannelInboundHandlerAdapter implements Transport {
    private final int most;
    private final AtomicInteger open = new AtomicInteger();

    AcceptGate(int most) {
        this.most = most;
    }

    /** Whether newcomers are held back, asked from any thread. */
    boolean shut() {
        return open.get() >= most;
    }

    @Override
    public void channelRead(ChannelHandlerContext listening, Object accepted) {
        Channel parent = listening.channel();
        if (open.incrementAndGet() >= most) {
            parent.config().setAutoRead(false);
        }
        Channel child = (Channel) accepted;
        // A closed one is given back by the next turn of its selector, and no task that is put off comes before that.
        child.closeFuture().addListener(closed -> child.eventLoop().schedule(() -> {
            if (open.decrementAndGet() < most) {
                parent.config().setAutoRead(true);
            }
        }, 1, TimeUnit.MILLISECONDS));
        listening.fireChannelRead(accepted);
    }

    @Override
    public String name() {
        return "nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return new NioTransport() {
            @Override
            public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap server) {
                super.configure(options, domainSocket, server);
                server.handler(AcceptGate.this);
            }
        };
    }
}
