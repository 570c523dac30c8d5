package org.flamingopitch.transport.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * Handles a connection that another process opened: reads its hello frame, answers with this process's, then passes
 * each message to the listener.
 *
 * @param <M> the type of the messages
 */
final class InboundPeerHandler<M> extends SimpleChannelInboundHandler<ByteBuf> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PeerTransport<M> transport;

    private final PeerCodec<M> codec;

    private final PeerListener<M> listener;

    private ProcessId peer;

    InboundPeerHandler(PeerTransport<M> transport, PeerCodec<M> codec, PeerListener<M> listener) {
        this.transport = transport;
        this.codec = codec;
        this.listener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        byte[] bytes = ByteBufUtil.getBytes(frame);
        if (peer != null) {
            listener.received(peer, codec.decode(bytes));
            return;
        }
        PeerHello hello = PeerHello.decode(bytes);
        byte[] ownHello = PeerHello.of(transport.self()).encode();
        context.writeAndFlush(Unpooled.wrappedBuffer(ownHello));
        hello.requireSupportedVersion();
        peer = hello.id();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (peer != null) {
            listener.connectionLost(peer);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        String name = peer == null ? context.channel().remoteAddress().toString() : peer.value();
        LOGGER.atWarning().log("event=peer_error step=peer.receive peer=%s detail=\"%s\"", name, cause.getMessage());
        context.close();
    }
}
