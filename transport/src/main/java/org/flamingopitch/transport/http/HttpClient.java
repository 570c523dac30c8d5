package org.flamingopitch.transport.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.supervisor.Service;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** An HTTP client with a bounded connection pool for each address. All connections share one I/O thread. */
public final class HttpClient implements Service {

    private static final int IO_BUFFER_BYTES = 16 << 10;

    private final String name;

    private final TimeSource clock;

    private final Map<HostPort, ConnectionPool> pools = new HashMap<>();

    private XnioWorker worker;

    private XnioIoThread ioThread;

    private ByteBufferPool buffers;

    /**
     * Creates a client.
     *
     * @param name the name of the service and of its threads
     * @param clock the clock that {@link HttpRequest#notAfter} is compared with
     */
    public HttpClient(String name, TimeSource clock) {
        this.name = name;
        this.clock = clock;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_NAME, name)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .getMap();
        try {
            worker = Xnio.getInstance().createWorker(options);
        } catch (IOException e) {
            throw new IllegalStateException(name + ": cannot start: " + e.getMessage(), e);
        }
        ioThread = worker.getIoThread();
        buffers = new DefaultByteBufferPool(false, IO_BUFFER_BYTES);
    }

    @Override
    public void stop() {
        if (worker != null) {
            ioThread.execute(() -> pools.values().forEach(ConnectionPool::close));
            worker.shutdown();
            worker = null;
        }
    }

    /**
     * Sends a request as soon as a connection is free.
     *
     * @param address the server
     * @param maxConnections the maximum number of open connections to the address
     * @param order the request
     * @param handler receives the outcome exactly once, in the client's I/O thread
     */
    public void send(HostPort address, int maxConnections, HttpRequest order, Consumer<HttpOutcome> handler) {
        ioThread.execute(() -> pools.computeIfAbsent(address, this::newPool).send(order, maxConnections, handler));
    }

    /**
     * Closes the idle connections to an address.
     *
     * @param address the server
     */
    public void closeIdleConnections(HostPort address) {
        ioThread.execute(() -> {
            ConnectionPool pool = pools.get(address);
            if (pool != null) {
                pool.closeIdle();
            }
        });
    }

    private ConnectionPool newPool(HostPort address) {
        return new ConnectionPool(address, ioThread, buffers, clock);
    }
}
