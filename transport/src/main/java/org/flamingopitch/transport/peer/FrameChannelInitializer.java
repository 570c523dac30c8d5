package org.flamingopitch.transport.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.function.Supplier;

/** Configures a connection for frames with a four-byte length prefix. */
final class FrameChannelInitializer extends ChannelInitializer<SocketChannel> {

    private static final int MAX_FRAME_BYTES = 3 << 20;

    private static final int LENGTH_FIELD_BYTES = 4;

    private final Supplier<ChannelHandler> handler;

    FrameChannelInitializer(Supplier<ChannelHandler> handler) {
        this.handler = handler;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler())
                .addLast(
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(handler.get());
    }
}
