package org.flamingopitch.transport.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.transport.http.HostPort;

/** Sends requests to other processes of the system, and receives theirs, over length-prefixed TCP, in one thread. */
public final class RequestTransport implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    static {
        // Without it, Netty searches the program's file for logging libraries while other threads are running.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private final HostPort listenAddress;

    private final BiConsumer<byte[], Consumer<byte[]>> handler;

    private final Map<HostPort, RequestClient> clients = new HashMap<>();

    private EventLoopGroup group;

    private Channel server;

    /**
     * Creates the transport.
     *
     * @param listenAddress the address to listen on
     * @param handler receives each request and the consumer of its answer, in the transport's thread
     */
    public RequestTransport(HostPort listenAddress, BiConsumer<byte[], Consumer<byte[]>> handler) {
        this.listenAddress = listenAddress;
        this.handler = handler;
    }

    @Override
    public String name() {
        return "request-transport";
    }

    @Override
    public void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new FrameChannelInitializer(RequestHandler::new))
                .bind(listenAddress.host(), listenAddress.port());
        if (!binding.awaitUninterruptibly().isSuccess()) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw new IllegalStateException("request-transport: cannot listen on " + listenAddress + ": "
                    + binding.cause().getMessage());
        }
        server = binding.channel();
    }

    @Override
    public void stop() {
        if (group != null) {
            server.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            group = null;
        }
    }

    /**
     * Sends a request.
     *
     * @param to the peer's address
     * @param body the bytes of the request
     * @param timeout how long to wait for the answer
     * @param outcome receives the outcome exactly once, in the transport's thread
     */
    public void send(HostPort to, byte[] body, Duration timeout, Consumer<RequestOutcome> outcome) {
        EventLoopGroup current = group;
        if (current == null || current.isShuttingDown()) {
            outcome.accept(new RequestOutcome.NotSent("the transport is stopped"));
            return;
        }
        current.execute(() -> clients.computeIfAbsent(to, address -> new RequestClient(current, address))
                .send(body, timeout, outcome));
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            long id = frame.readLong();
            byte[] body = ByteBufUtil.getBytes(frame);
            handler.accept(body, answer -> {
                ByteBuf reply = context.alloc().heapBuffer(Long.BYTES + answer.length);
                reply.writeLong(id);
                reply.writeBytes(answer);
                context.writeAndFlush(reply);
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.atWarning().log(
                    "event=peer_error step=peer.answer peer=%s detail=\"%s\"",
                    context.channel().remoteAddress(), cause.getMessage());
            context.close();
        }
    }
}
