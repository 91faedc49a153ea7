package topazladder.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Closes the two directions of a connection one by one. Vert.x closes both at once: a caller that had sent all it
 * wanted would lose its responses, and a close over bytes that are not read yet would reset the connection, and with it
 * the response that was written last.
 */
final class HalfClose {

    private HalfClose() {}

    /** @param inputShutdown run on the event loop when the other side sends no more; it may still read */
    static void onInputShutdown(NetSocket socket, Runnable inputShutdown) {
        ChannelHandlerContext context = ((NetSocketInternal) socket).channelHandlerContext();
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        context.pipeline().addFirst(new ChannelInboundHandlerAdapter() {
            @Override
            public void userEventTriggered(ChannelHandlerContext at, Object event) throws Exception {
                super.userEventTriggered(at, event);
                if (event == ChannelInputShutdownEvent.INSTANCE) {
                    inputShutdown.run();
                }
            }
        });
    }

    /** Sends no more once all that was written is out; what comes is still read. */
    static void shutdownOutput(NetSocket socket) {
        ChannelHandlerContext context = ((NetSocketInternal) socket).channelHandlerContext();
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> {
            if (flushed.isSuccess() && context.channel()instanceof DuplexChannel channel && channel.isActive()) {
                channel.shutdownOutput();
            }
        });
    }
}
