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

/** Sends requests to one peer at a time over one connection; answers come back on it in any order. */
final class RequestClient {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    private final EventLoopGroup group;

    private final HostPort address;

    private final Map<Long, Pending> pending = new HashMap<>();

    private final List<Pending> unsent = new ArrayList<>();

    private Channel channel;

    private boolean connecting;

    private long lastId;

    RequestClient(EventLoopGroup group, HostPort address) {
        this.group = group;
        this.address = address;
    }

    /** Sends a request; runs in the event loop. */
    void send(byte[] body, Duration timeout, Consumer<RequestOutcome> handler) {
        lastId++;
        Pending request = new Pending(lastId, body, handler);
        group.schedule(() -> expire(request), timeout.toMillis(), TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            write(request);
            return;
        }
        unsent.add(request);
        connect();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void write(Pending request) {
        pending.put(request.id(), request);
        ByteBuf frame = channel.alloc().heapBuffer(Long.BYTES + request.body().length);
        frame.writeLong(request.id());
        frame.writeBytes(request.body());
        channel.writeAndFlush(frame);
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        ChannelFuture future = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new FramePipeline(AnswerHandler::new))
                .connect(address.host(), address.port());
        future.addListener(done -> connected(future));
    }

    private void connected(ChannelFuture future) {
        connecting = false;
        List<Pending> waiting = new ArrayList<>(unsent);
        unsent.clear();
        if (!future.isSuccess()) {
            LOGGER.atWarning().log(
                    "event=peer_unreachable step=peer.dial peer=%s detail=\"%s\"",
                    address, future.cause().getMessage());
            String detail = "no connection: " + future.cause().getMessage();
            waiting.forEach(each -> each.handler().accept(new RequestOutcome.NotSent(detail)));
            return;
        }
        channel = future.channel();
        waiting.forEach(this::write);
    }

    private void expire(Pending request) {
        if (unsent.remove(request)) {
            request.handler().accept(new RequestOutcome.NotSent("no connection in time"));
            return;
        }
        if (pending.remove(request.id()) != null) {
            request.handler().accept(new RequestOutcome.Lost("no answer in time"));
            // A connection on which an answer fails to come may have fallen silent for good.
            close();
        }
    }

    private void lost(Channel closed) {
        if (closed != channel) {
            return;
        }
        channel = null;
        List<Pending> unanswered = new ArrayList<>(pending.values());
        pending.clear();
        unanswered.forEach(each -> each.handler().accept(new RequestOutcome.Lost("connection closed")));
    }

    private record Pending(long id, byte[] body, Consumer<RequestOutcome> handler) {}

    private final class AnswerHandler extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            Pending request = pending.remove(frame.readLong());
            if (request != null) {
                request.handler().accept(new RequestOutcome.Answered(ByteBufUtil.getBytes(frame)));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lost(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.atWarning().log("event=peer_error step=peer.ask peer=%s detail=\"%s\"", address, cause.getMessage());
            context.close();
        }
    }
}
