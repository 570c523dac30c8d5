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
 * Maintains a connection to each process given to {@link #connectTo}, and accepts connections from others. Messages are
 * sent on connections that this process opened and received on those that its peers opened. Messages to a process that
 * is not connected are dropped, not queued.
 *
 * @param <M> the type of the messages
 */
public final class PeerTransport<M> implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final long REDIAL_DELAY_MILLIS = 250;

    private final HostPort listenAddress;

    private final PeerCodec<M> codec;

    private final PeerListener<M> listener;

    private final Map<ProcessId, HostPort> desiredPeers = new HashMap<>();

    private final Map<ProcessId, Channel> outboundChannels = new HashMap<>();

    private final Map<ProcessId, ChannelFuture> pendingDials = new HashMap<>();

    private ProcessId self;

    private EventLoopGroup group;

    private Channel server;

    /**
     * Creates the transport.
     *
     * @param listenAddress the address to listen on; port 0 takes any free port
     * @param codec encodes and decodes messages
     * @param listener receives the events of connections and messages
     */
    public PeerTransport(HostPort listenAddress, PeerCodec<M> codec, PeerListener<M> listener) {
        this.listenAddress = listenAddress;
        this.codec = codec;
        this.listener = listener;
    }

    /**
     * Sets the id of this process; must be called before the first connection.
     *
     * @param id the id
     */
    public void setProcessId(ProcessId id) {
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
                .childHandler(newPipeline(() -> new InboundPeerHandler<>(this, codec, listener)));
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
     * Returns the address that this process listens on.
     *
     * @return the address with the actual port
     */
    public HostPort boundAddress() {
        return new HostPort(listenAddress.host(), ((InetSocketAddress) server.localAddress()).getPort());
    }

    /**
     * Sets the processes to stay connected to; closes connections to all others.
     *
     * @param peers the processes and their addresses
     */
    public void connectTo(List<PeerAddress> peers) {
        executeInEventLoop(() -> {
            desiredPeers.clear();
            peers.forEach(peer -> desiredPeers.put(peer.id(), peer.address()));
            desiredPeers.keySet().forEach(this::dial);
            outboundChannels.entrySet().stream()
                    .filter(entry -> !desiredPeers.containsKey(entry.getKey()))
                    .toList()
                    .forEach(entry -> entry.getValue().close());
        });
    }

    /**
     * Sends a message; if there is no connection to the process, calls {@link PeerListener#connectionLost}.
     *
     * @param to the receiver
     * @param message the message
     */
    public void send(ProcessId to, M message) {
        byte[] frame = codec.encode(message);
        executeInEventLoop(() -> write(to, frame));
    }

    ProcessId self() {
        return self;
    }

    private void executeInEventLoop(Runnable action) {
        EventLoopGroup current = group;
        if (current != null && !current.isShuttingDown()) {
            current.execute(action);
        }
    }

    private void write(ProcessId to, byte[] frame) {
        Channel channel = outboundChannels.get(to);
        if (channel == null || !channel.isActive()) {
            listener.connectionLost(to);
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
        HostPort address = desiredPeers.get(peer);
        if (address == null || outboundChannels.containsKey(peer) || pendingDials.containsKey(peer)) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(newPipeline(() -> new OutboundPeerHandler<>(this, peer)));
        ChannelFuture future = bootstrap.connect(address.host(), address.port());
        pendingDials.put(peer, future);
        future.addListener(done -> onDialCompleted(peer, future));
    }

    private void onDialCompleted(ProcessId peer, ChannelFuture future) {
        pendingDials.remove(peer);
        if (future.isSuccess()) {
            return;
        }
        if (future.cause() instanceof ConnectException && isConnectionRefused(future.cause())) {
            desiredPeers.remove(peer);
            listener.processTerminated(peer);
            return;
        }
        scheduleRedial(peer);
    }

    private static boolean isConnectionRefused(Throwable cause) {
        return cause.getMessage() != null && cause.getMessage().contains("refused");
    }

    private void scheduleRedial(ProcessId peer) {
        EventLoopGroup current = group;
        if (current != null && !current.isShuttingDown()) {
            current.schedule(() -> dial(peer), REDIAL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    void onHelloReceived(ProcessId expected, ProcessId actual, Channel channel) {
        if (!expected.equals(actual)) {
            desiredPeers.remove(expected);
            channel.close();
            listener.processTerminated(expected);
            return;
        }
        outboundChannels.put(expected, channel);
        listener.connected(expected);
    }

    void onChannelClosed(ProcessId peer, Channel channel) {
        if (outboundChannels.remove(peer, channel)) {
            listener.connectionLost(peer);
        }
        scheduleRedial(peer);
    }

    private static ChannelHandler newPipeline(Supplier<ChannelHandler> handler) {
        return new FrameChannelInitializer(handler);
    }
}
