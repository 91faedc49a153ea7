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
 * The two directions of a connection, each of which ends by itself. Vert.x ends both at once: a caller that had sent
 * all it wanted would lose its answers, and a close over bytes not read yet would reset the connection, with what was
 * written last.
 */
final class HalfClose {

    private HalfClose() {}

    /** @param heardAll run on the event loop when the other side has said that it sends no more; it may still read */
    static void watch(NetSocket socket, Runnable heardAll) {
        ChannelHandlerContext context = ((NetSocketInternal) socket).channelHandlerContext();
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        context.pipeline().addFirst(new ChannelInboundHandlerAdapter() {
            @Override
            public void userEventTriggered(ChannelHandlerContext at, Object event) throws Exception {
                super.userEventTriggered(at, event);
                if (event == ChannelInputShutdownEvent.INSTANCE) {
                    heardAll.run();
                }
            }
        });
    }

    /** Nothing more is sent once all that was written is out; what comes is still read. */
    static void finish(NetSocket socket) {
        ChannelHandlerContext context = ((NetSocketInternal) socket).channelHandlerContext();
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(out -> {
            if (out.isSuccess() && context.channel()instanceof DuplexChannel channel && channel.isActive()) {
                channel.shutdownOutput();
            }
        });
    }
}
