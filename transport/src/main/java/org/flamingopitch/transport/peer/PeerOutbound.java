package org.flamingopitch.transport.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The connection that this process opened: greets, checks who answers, and is then only written to.
 *
 * @param <M> the type of the messages
 */
final class PeerOutbound<M> extends SimpleChannelInboundHandler<ByteBuf> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PeerTransport<M> transport;

    private final ProcessId peer;

    PeerOutbound(PeerTransport<M> transport, ProcessId peer) {
        this.transport = transport;
        this.peer = peer;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        byte[] greeting = PeerHello.of(transport.self()).encode();
        context.writeAndFlush(Unpooled.wrappedBuffer(greeting));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        PeerHello hello = PeerHello.decode(ByteBufUtil.getBytes(frame));
        hello.requireVersion();
        transport.greeted(peer, hello.id(), context.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        transport.closed(peer, context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.atWarning().log("event=peer_error step=peer.dial peer=%s detail=\"%s\"", peer, cause.getMessage());
        context.close();
    }
}
