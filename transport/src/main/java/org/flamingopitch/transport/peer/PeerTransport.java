package org.flamingopitch.transport.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.transport.http.HostPort;

/**
 * Keeps a connection to each known process. Messages go out on the connection that this process opened and come in on
 * the one that the other opened; nothing is queued for a process that is not connected.
 *
 * @param <M> the type of the messages
 */
public final class PeerTransport<M> implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final long RETRY_MILLIS = 250;

    private final HostPort listenAddress;

    private final PeerCodec<M> codec;

    private final PeerListener<M> listener;

    private final Map<ProcessId, HostPort> wanted = new HashMap<>();

    private final Map<ProcessId, Channel> outgoing = new HashMap<>();

    private final Map<ProcessId, ChannelFuture> dialing = new HashMap<>();

    private ProcessId self;

    private EventLoopGroup group;

    private Channel server;

    /**
     * Creates the transport.
     *
     * @param listenAddress where it listens; port 0 takes any free port
     * @param codec turns messages into bytes and back
     * @param listener learns of connections and messages
     */
    public PeerTransport(HostPort listenAddress, PeerCodec<M> codec, PeerListener<M> listener) {
        this.listenAddress = listenAddress;
        this.codec = codec;
        this.listener = listener;
    }

    /**
     * Sets this process's id; called before the first connection.
     *
     * @param id the id
     */
    public void identify(ProcessId id) {
        self = id;
    }

    @Override
    public String name() {
        return "peer-transport";
    }

    @Override
    public void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipeline(() -> new PeerInbound<>(this, codec, listener)));
        ChannelFuture bound = bootstrap.bind(listenAddress.host(), listenAddress.port());
        if (!bound.awaitUninterruptibly().isSuccess()) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw new IllegalStateException("peer-transport: cannot listen on " + listenAddress + ": "
                    + bound.cause().getMessage());
        }
        server = bound.channel();
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
     * Returns where this process listens.
     *
     * @return the address with the actual port
     */
    public HostPort boundAddress() {
        return new HostPort(listenAddress.host(), ((InetSocketAddress) server.localAddress()).getPort());
    }

    /**
     * Names the processes to stay connected to.
     *
     * @param peers the processes
     */
    public void connectTo(List<PeerAddress> peers) {
        execute(() -> {
            wanted.clear();
            peers.forEach(peer -> wanted.put(peer.id(), peer.address()));
            wanted.keySet().forEach(this::dial);
            outgoing.entrySet().stream()
                    .filter(entry -> !wanted.containsKey(entry.getKey()))
                    .toList()
                    .forEach(entry -> entry.getValue().close());
        });
    }

    /**
     * Sends a message; if the process is not connected, the listener is told that it is lost.
     *
     * @param to the process
     * @param message the message
     */
    public void send(ProcessId to, M message) {
        byte[] frame = codec.encode(message);
        execute(() -> write(to, frame));
    }

    ProcessId self() {
        return self;
    }

    private void execute(Runnable action) {
        EventLoopGroup current = group;
        if (current != null && !current.isShuttingDown()) {
            current.execute(action);
        }
    }

    private void write(ProcessId to, byte[] frame) {
        Channel channel = outgoing.get(to);
        if (channel == null || !channel.isActive()) {
            listener.lost(to);
            return;
        }
        if (!channel.isWritable()) {
            LOGGER.atWarning().log("event=peer_overloaded step=peer.send peer=%s", to);
            channel.close();
            return;
        }
        channel.writeAndFlush(channel.alloc().heapBuffer(frame.length).writeBytes(frame));
    }

    private void dial(ProcessId peer) {
        HostPort address = wanted.get(peer);
        if (address == null || outgoing.containsKey(peer) || dialing.containsKey(peer)) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(pipeline(() -> new PeerOutbound<>(this, peer)));
        ChannelFuture future = bootstrap.connect(address.host(), address.port());
        dialing.put(peer, future);
        future.addListener(done -> dialed(peer, future));
    }

    private void dialed(ProcessId peer, ChannelFuture future) {
        dialing.remove(peer);
        if (future.isSuccess()) {
            return;
        }
        if (future.cause() instanceof ConnectException && isRefusal(future.cause())) {
            wanted.remove(peer);
            listener.gone(peer);
            return;
        }
        redialLater(peer);
    }

    private static boolean isRefusal(Throwable cause) {
        return cause.getMessage() != null && cause.getMessage().contains("refused");
    }

    private void redialLater(ProcessId peer) {
        EventLoopGroup current = group;
        if (current != null && !current.isShuttingDown()) {
            current.schedule(() -> dial(peer), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    void greeted(ProcessId expected, ProcessId actual, Channel channel) {
        if (!expected.equals(actual)) {
            wanted.remove(expected);
            channel.close();
            listener.gone(expected);
            return;
        }
        outgoing.put(expected, channel);
        listener.connected(expected);
    }

    void closed(ProcessId peer, Channel channel) {
        if (outgoing.remove(peer, channel)) {
            listener.lost(peer);
        }
        redialLater(peer);
    }

    private static ChannelHandler pipeline(Supplier<ChannelHandler> handler) {
        return new FramePipeline(handler);
    }
}
