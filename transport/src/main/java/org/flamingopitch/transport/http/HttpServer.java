package org.flamingopitch.transport.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.List;
import org.flamingopitch.coordination.supervisor.Service;

/** An HTTP server that listens on one or more addresses. */
public final class HttpServer implements Service {

    private static final long MAX_BODY_BYTES = 2L << 20;

    private static final int MAX_HEADER_BYTES = 16 << 10;

    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    private final String name;

    private final HostPort address;

    private final List<HostPort> additionalAddresses;

    private final HttpRoutes routes;

    private final int ioThreads;

    private final CallsInProgress callsInProgress = new CallsInProgress();

    private Undertow server;

    /**
     * Creates a server.
     *
     * @param name the name of the service
     * @param address the address to listen on; port 0 takes any free port
     * @param routes the handlers of the paths
     * @param ioThreads the number of I/O threads
     */
    public HttpServer(String name, HostPort address, HttpRoutes routes, int ioThreads) {
        this(name, address, List.of(), routes, ioThreads);
    }

    /**
     * Creates a server that listens on several addresses.
     *
     * @param name the name of the service
     * @param address the address that {@link #boundAddress} and {@link #connections} report on
     * @param additionalAddresses the other addresses to listen on
     * @param routes the handlers of the paths
     * @param ioThreads the number of I/O threads
     */
    public HttpServer(
            String name, HostPort address, List<HostPort> additionalAddresses, HttpRoutes routes, int ioThreads) {
        this.name = name;
        this.address = address;
        this.additionalAddresses = additionalAddresses;
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
        additionalAddresses.forEach(additional -> builder.addHttpListener(additional.port(), additional.host()));
        server = builder.setIoThreads(ioThreads)
                .setWorkerThreads(1)
                .setDirectBuffers(false)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
                .setHandler(countCalls(routes.handler()))
                .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new IllegalStateException(name + ": cannot listen on " + address + ": " + rootCauseMessage(e), e);
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
     * Returns the first address that the server listens on.
     *
     * @return the address with the actual port
     */
    public HostPort boundAddress() {
        InetSocketAddress boundTo =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new HostPort(address.host(), boundTo.getPort());
    }

    /**
     * Returns the number of open connections to the first address.
     *
     * @return the number of connections
     */
    public int connections() {
        return (int) server.getListenerInfo().get(0).getConnectorStatistics().getActiveConnections();
    }

    /**
     * Runs an action in an I/O thread as soon as every received request is answered. With one I/O thread, no further
     * request is read while the action runs.
     *
     * @param action the action
     */
    public void runWhenIdle(Runnable action) {
        server.getWorker().getIoThread().execute(() -> callsInProgress.runWhenIdle(action));
    }

    /**
     * Returns the number of requests that are received and not answered yet.
     *
     * @return the number of requests
     */
    public int callsInProgress() {
        return callsInProgress.count();
    }

    private HttpHandler countCalls(HttpHandler next) {
        return exchange -> {
            callsInProgress.begin();
            exchange.addExchangeCompleteListener((completed, listener) -> {
                callsInProgress.end();
                listener.proceed();
            });
            next.handleRequest(exchange);
        };
    }

    private static String rootCauseMessage(Throwable error) {
        Throwable root = error;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage();
    }
}
