package org.flamingopitch.transport.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * Handles a connection that this process opened: sends a hello frame and checks the answering process. Afterwards
 * messages are only written to it; the peer's messages arrive on the connection that the peer opened.
 *
 * @param <M> the type of the messages
 */
final class OutboundPeerHandler<M> extends SimpleChannelInboundHandler<ByteBuf> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PeerTransport<M> transport;

    private final ProcessId peer;

    OutboundPeerHandler(PeerTransport<M> transport, ProcessId peer) {
        this.transport = transport;
        this.peer = peer;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        byte[] hello = PeerHello.of(transport.self()).encode();
        context.writeAndFlush(Unpooled.wrappedBuffer(hello));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        PeerHello hello = PeerHello.decode(ByteBufUtil.getBytes(frame));
        hello.requireSupportedVersion();
        transport.onHelloReceived(peer, hello.id(), context.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        transport.onChannelClosed(peer, context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.atWarning().log("event=peer_error step=peer.dial peer=%s detail=\"%s\"", peer, cause.getMessage());
        context.close();
    }
}
