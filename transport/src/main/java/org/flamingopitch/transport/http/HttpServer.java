package org.flamingopitch.transport.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.net.InetSocketAddress;
import java.util.List;
import org.flamingopitch.coordination.supervisor.Service;

/** An HTTP server. */
public final class HttpServer implements Service {

    private static final long MAX_BODY_BYTES = 2L << 20;

    private static final int MAX_HEADER_BYTES = 16 << 10;

    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    private final String name;

    private final HostPort address;

    private final List<HostPort> furtherAddresses;

    private final HttpRoutes routes;

    private final int ioThreads;

    private Undertow server;

    /**
     * Creates a server.
     *
     * @param name its name in logs
     * @param address where it listens; port 0 takes any free port
     * @param routes the paths
     * @param ioThreads the number of I/O threads
     */
    public HttpServer(String name, HostPort address, HttpRoutes routes, int ioThreads) {
        this(name, address, List.of(), routes, ioThreads);
    }

    /**
     * Creates a server that listens at several addresses.
     *
     * @param name its name in logs
     * @param address where it listens first
     * @param furtherAddresses where it listens besides
     * @param routes the paths
     * @param ioThreads the number of I/O threads
     */
    public HttpServer(
            String name, HostPort address, List<HostPort> furtherAddresses, HttpRoutes routes, int ioThreads) {
        this.name = name;
        this.address = address;
        this.furtherAddresses = furtherAddresses;
        this.routes = routes;
        this.ioThreads = ioThreads;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        Undertow.Builder builder = Undertow.builder().addHttpListener(address.port(), address.host());
        furtherAddresses.forEach(each -> builder.addHttpListener(each.port(), each.host()));
        server = builder.setIoThreads(ioThreads)
                .setWorkerThreads(1)
                .setDirectBuffers(false)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
                .setHandler(routes.handler())
                .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new IllegalStateException(name + ": cannot listen on " + address + ": " + rootMessage(e), e);
        }
    }

    @Override
    public void stop() {
        if (server != null) {
            server.stop();
            server = null;
        }
    }

    /**
     * Returns where the server listens.
     *
     * @return the address with the actual port
     */
    public HostPort boundAddress() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new HostPort(address.host(), bound.getPort());
    }

    /**
     * Returns how many connections are open.
     *
     * @return the number
     */
    public int connections() {
        return (int) server.getListenerInfo().get(0).getConnectorStatistics().getActiveConnections();
    }

    private static String rootMessage(Throwable error) {
        Throwable root = error;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage();
    }
}
