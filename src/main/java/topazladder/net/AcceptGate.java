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
 * Stops the acceptor thread while the bound of open connections is reached. The acceptor goes on though the event loop
 * that owns the connections stands still, and would take the descriptors that links and calls need. Connections that
 * are held back wait in the system's backlog until the event loop has closed others.
 *
 * <p>Invariant: at most {@code maxConnections} accepted connections hold a descriptor.
 */
@Sharable
final class AcceptGate extends ChannelInboundHandlerAdapter implements Transport {
    /**
     * The next turn of the selector gives back a closed descriptor; no delayed task runs before that, though an
     * immediate one may.
     */
    private static final long DESCRIPTOR_RELEASE_MILLIS = 1;

    private final int maxConnections;
    private final AtomicInteger openConnections = new AtomicInteger();

    AcceptGate(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Whether new connections are held back; may be called from any thread. */
    boolean isShut() {
        return openConnections.get() >= maxConnections;
    }

    @Override
    public void channelRead(ChannelHandlerContext acceptor, Object accepted) {
        Channel listener = acceptor.channel();
        if (openConnections.incrementAndGet() >= maxConnections) {
            listener.config().setAutoRead(false);
        }
        Channel connection = (Channel) accepted;
        connection.closeFuture().addListener(closed -> connection.eventLoop().schedule(() -> release(listener),
                DESCRIPTOR_RELEASE_MILLIS, TimeUnit.MILLISECONDS));
        acceptor.fireChannelRead(accepted);
    }

    private void release(Channel listener) {
        if (openConnections.decrementAndGet() < maxConnections) {
            listener.config().setAutoRead(true);
        }
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
