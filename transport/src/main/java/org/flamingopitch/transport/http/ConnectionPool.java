package org.flamingopitch.transport.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.TimeSource;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The connections to one address; used only in the client's I/O thread. */
final class ConnectionPool {

    private static final String CONNECT_STEP = "http.connect";

    private static final int MAX_WAITING = 4_096;

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private final HostPort address;

    private final XnioIoThread ioThread;

    private final ByteBufferPool buffers;

    private final TimeSource clock;

    private final Deque<ClientConnection> idle = new ArrayDeque<>();

    private final Set<ClientConnection> busy = new HashSet<>();

    private final Deque<Waiting> waiting = new ArrayDeque<>();

    private int connecting;

    ConnectionPool(HostPort address, XnioIoThread ioThread, ByteBufferPool buffers, TimeSource clock) {
        this.address = address;
        this.ioThread = ioThread;
        this.buffers = buffers;
        this.clock = clock;
    }

    void send(HttpOrder order, int maxConnections, Consumer<HttpOutcome> handler) {
        ClientConnection connection = takeIdle();
        if (connection != null) {
            exchange(connection, new Waiting(order, handler));
            return;
        }
        if (waiting.size() >= MAX_WAITING) {
            handler.accept(notSent("too many requests wait for a connection"));
            return;
        }
        waiting.add(new Waiting(order, handler));
        if (busy.size() + connecting < maxConnections) {
            connect();
        }
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            IoUtils.safeClose(idle.poll());
        }
    }

    void close() {
        closeIdle();
        busy.forEach(IoUtils::safeClose);
    }

    private ClientConnection takeIdle() {
        while (!idle.isEmpty()) {
            ClientConnection connection = idle.pollLast();
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    private void connect() {
        connecting++;
        ConnectAttempt attempt = new ConnectAttempt();
        attempt.timeout = ioThread.executeAfter(
                () -> attempt.failed(new IOException("no connection in time")),
                CONNECT_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
        URI uri = URI.create("http://" + address);
        UndertowClient.getInstance().connect(attempt, uri, ioThread, buffers, OptionMap.EMPTY);
    }

    private void exchange(ClientConnection connection, Waiting next) {
        if (!clock.now().isBefore(next.order().notAfter())) {
            idle.add(connection);
            next.handler().accept(notSent("the time to send it has passed"));
            serveWaiting();
            return;
        }
        busy.add(connection);
        new HttpExchange(address, connection, ioThread, next.order(), outcome -> finished(connection, outcome, next))
                .start();
    }

    private void finished(ClientConnection connection, HttpOutcome outcome, Waiting served) {
        busy.remove(connection);
        boolean reusable = outcome instanceof HttpOutcome.Answered && connection.isOpen();
        if (reusable) {
            idle.add(connection);
        } else {
            IoUtils.safeClose(connection);
        }
        served.handler().accept(outcome);
        serveWaiting();
    }

    private void serveWaiting() {
        while (!waiting.isEmpty()) {
            ClientConnection connection = takeIdle();
            if (connection == null) {
                connectIfNone();
                return;
            }
            exchange(connection, waiting.poll());
        }
    }

    private void connectIfNone() {
        if (busy.isEmpty() && connecting == 0) {
            connect();
        }
    }

    private void failWaiting(String detail) {
        Deque<Waiting> failed = new ArrayDeque<>(waiting);
        waiting.clear();
        failed.forEach(each -> each.handler().accept(notSent(detail)));
    }

    private HttpOutcome notSent(String detail) {
        return new HttpOutcome.NotSent(new Failure(CONNECT_STEP, address.toString(), detail));
    }

    private record Waiting(HttpOrder order, Consumer<HttpOutcome> handler) {}

    private final class ConnectAttempt implements ClientCallback<ClientConnection> {

        private XnioExecutor.Key timeout;

        private boolean ended;

        @Override
        public void completed(ClientConnection connection) {
            ioThread.execute(() -> connected(connection));
        }

        @Override
        public void failed(IOException error) {
            ioThread.execute(() -> refused(error));
        }

        private void connected(ClientConnection connection) {
            if (ended) {
                IoUtils.safeClose(connection);
                return;
            }
            end();
            idle.add(connection);
            serveWaiting();
        }

        private void refused(IOException error) {
            if (ended) {
                return;
            }
            end();
            if (busy.isEmpty() && connecting == 0) {
                failWaiting(error.getMessage());
            }
        }

        private void end() {
            ended = true;
            connecting--;
            if (timeout != null) {
                timeout.remove();
            }
        }
    }
}
