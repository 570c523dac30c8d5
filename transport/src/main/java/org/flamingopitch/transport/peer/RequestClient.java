package org.flamingopitch.transport.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.transport.http.HostPort;

/**
 * Sends requests to one peer over one connection, which is opened on demand. Answers may arrive in any order; request
 * ids match them. Runs in the event loop only.
 */
final class RequestClient {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    private final EventLoopGroup group;

    private final HostPort address;

    private final Map<Long, PendingRequest> awaitingAnswer = new HashMap<>();

    private final List<PendingRequest> awaitingConnection = new ArrayList<>();

    private Channel channel;

    private boolean isConnecting;

    private long lastRequestId;

    /** The number of answers received so far, on any connection. */
    private long answersReceived;

    RequestClient(EventLoopGroup group, HostPort address) {
        this.group = group;
        this.address = address;
    }

    /** Sends a request, or queues it until the connection is up. */
    void send(byte[] body, Duration timeout, Consumer<RequestOutcome> handler) {
        lastRequestId++;
        PendingRequest request = new PendingRequest(lastRequestId, body, answersReceived, handler);
        group.schedule(() -> onTimeout(request), timeout.toMillis(), TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            write(request);
            return;
        }
        awaitingConnection.add(request);
        connect();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void write(PendingRequest request) {
        awaitingAnswer.put(request.id(), request);
        ByteBuf frame = channel.alloc().heapBuffer(Long.BYTES + request.body().length);
        frame.writeLong(request.id());
        frame.writeBytes(request.body());
        channel.writeAndFlush(frame);
    }

    private void connect() {
        if (isConnecting) {
            return;
        }
        isConnecting = true;
        ChannelFuture future = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new FrameChannelInitializer(AnswerHandler::new))
                .connect(address.host(), address.port());
        future.addListener(done -> onConnectCompleted(future));
    }

    private void onConnectCompleted(ChannelFuture future) {
        isConnecting = false;
        List<PendingRequest> toSend = new ArrayList<>(awaitingConnection);
        awaitingConnection.clear();
        if (!future.isSuccess()) {
            LOGGER.atWarning().log(
                    "event=peer_unreachable step=peer.dial peer=%s detail=\"%s\"",
                    address, future.cause().getMessage());
            String detail = "no connection: " + future.cause().getMessage();
            toSend.forEach(each -> each.handler().accept(new RequestOutcome.NotSent(detail)));
            return;
        }
        channel = future.channel();
        toSend.forEach(this::write);
    }

    private void onTimeout(PendingRequest request) {
        if (awaitingConnection.remove(request)) {
            request.handler().accept(new RequestOutcome.NotSent("no connection in time"));
            return;
        }
        if (awaitingAnswer.remove(request.id()) != null) {
            request.handler().accept(new RequestOutcome.Lost("no answer in time"));
            closeIfSilentSince(request);
        }
    }

    /**
     * Closes the connection if it has brought no answer since a request was sent: it may be dead without having been
     * closed. A connection to a slow peer stays open, because closing it would fail the requests that the peer works on.
     */
    private void closeIfSilentSince(PendingRequest request) {
        if (request.answersReceivedBefore() == answersReceived) {
            close();
        }
    }

    private void onChannelClosed(Channel closed) {
        if (closed != channel) {
            return;
        }
        channel = null;
        List<PendingRequest> unanswered = new ArrayList<>(awaitingAnswer.values());
        awaitingAnswer.clear();
        unanswered.forEach(each -> each.handler().accept(new RequestOutcome.Lost("connection closed")));
    }

    private record PendingRequest(long id, byte[] body, long answersReceivedBefore, Consumer<RequestOutcome> handler) {}

    private final class AnswerHandler extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            answersReceived++;
            PendingRequest request = awaitingAnswer.remove(frame.readLong());
            if (request != null) {
                request.handler().accept(new RequestOutcome.Answered(ByteBufUtil.getBytes(frame)));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onChannelClosed(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.atWarning().log("event=peer_error step=peer.ask peer=%s detail=\"%s\"", address, cause.getMessage());
            context.close();
        }
    }
}
