package org.flamingopitch.transport.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.TimeSource;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Keeps reusable connections to one address and queues requests until one is free. Not thread-safe: used only in the
 * client's I/O thread.
 */
final class ConnectionPool {

    private static final String CONNECT_STEP = "http.connect";

    private static final int MAX_PENDING_REQUESTS = 4_096;

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private final HostPort address;

    private final XnioIoThread ioThread;

    private final ByteBufferPool buffers;

    private final TimeSource clock;

    private final Deque<PooledConnection> idleConnections = new ArrayDeque<>();

    private final Set<PooledConnection> busyConnections = new HashSet<>();

    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();

    private int connectAttempts;

    ConnectionPool(HostPort address, XnioIoThread ioThread, ByteBufferPool buffers, TimeSource clock) {
        this.address = address;
        this.ioThread = ioThread;
        this.buffers = buffers;
        this.clock = clock;
    }

    void send(HttpRequest order, int maxConnections, Consumer<HttpOutcome> handler) {
        if (pendingRequests.size() >= MAX_PENDING_REQUESTS) {
            handler.accept(notSent("too many requests wait for a connection"));
            return;
        }
        pendingRequests.add(new PendingRequest(order, maxConnections, handler));
        sendPendingRequests();
    }

    void closeIdle() {
        while (!idleConnections.isEmpty()) {
            idleConnections.poll().close();
        }
    }

    void close() {
        closeIdle();
        List.copyOf(busyConnections).forEach(PooledConnection::close);
    }

    private PooledConnection takeIdle() {
        while (!idleConnections.isEmpty()) {
            PooledConnection connection = idleConnections.pollLast();
            if (connection.open()) {
                return connection;
            }
        }
        return null;
    }

    private void connect() {
        connectAttempts++;
        ConnectAttempt attempt = new ConnectAttempt();
        attempt.timeout = ioThread.executeAfter(
                () -> attempt.failed(new IOException("no connection in time")),
                CONNECT_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
        URI uri = URI.create("http://" + address);
        UndertowClient.getInstance().connect(attempt, uri, ioThread, buffers, OptionMap.EMPTY);
    }

    private void startExchange(PooledConnection connection, PendingRequest request) {
        busyConnections.add(connection);
        Instant sentAt = clock.now();
        new HttpExchange(
                        address,
                        connection.connection(),
                        ioThread,
                        request.order(),
                        outcome -> onExchangeEnded(connection, outcome, request, sentAt))
                .start();
    }

    private void onExchangeEnded(
            PooledConnection connection, HttpOutcome outcome, PendingRequest request, Instant sentAt) {
        busyConnections.remove(connection);
        if (outcome instanceof HttpOutcome.Answered && connection.open()) {
            connection.recordAnswer(clock.now());
            idleConnections.add(connection);
        } else {
            connection.close();
        }
        if (outcome instanceof HttpOutcome.Lost) {
            closeIdleUnprovedSince(sentAt.plus(request.order().serverWait()));
        }
        request.handler().accept(describeLoss(connection, outcome));
        sendPendingRequests();
    }

    /**
     * Closes the idle connections that have not worked since an answer was due that did not arrive: what silenced its
     * connection may have silenced them too, and each would cost another call its time-out.
     */
    private void closeIdleUnprovedSince(Instant answerDueAt) {
        idleConnections.removeIf(connection -> {
            boolean unproved = connection.provedAt().isBefore(answerDueAt);
            if (unproved) {
                connection.close();
            }
            return unproved;
        });
    }

    private HttpOutcome describeLoss(PooledConnection connection, HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Lost lost
                ? new HttpOutcome.Lost(lost.failure().withDetail(connection.describe(clock.now())))
                : outcome;
    }

    private void sendPendingRequests() {
        while (!pendingRequests.isEmpty()) {
            HttpRequest next = pendingRequests.peek().order();
            if (next.withdrawn().getAsBoolean()) {
                pendingRequests.poll().handler().accept(notSent("it was withdrawn"));
                continue;
            }
            if (!clock.now().isBefore(next.notAfter())) {
                pendingRequests.poll().handler().accept(notSent("the time to send it has passed"));
                continue;
            }
            PooledConnection connection = takeIdle();
            if (connection == null) {
                connectIfPermitted();
                return;
            }
            startExchange(connection, pendingRequests.poll());
        }
    }

    /** Opens a connection for the requests that wait, unless as many attempts are under way or the limit is reached. */
    private void connectIfPermitted() {
        boolean belowLimit = busyConnections.size() + connectAttempts
                < pendingRequests.peek().maxConnections();
        if (belowLimit && connectAttempts < pendingRequests.size()) {
            connect();
        }
    }

    private void failPendingRequests(String detail) {
        Deque<PendingRequest> unsent = new ArrayDeque<>(pendingRequests);
        pendingRequests.clear();
        unsent.forEach(request -> request.handler().accept(notSent(detail)));
    }

    private HttpOutcome notSent(String detail) {
        return new HttpOutcome.NotSent(new Failure(CONNECT_STEP, address.toString(), detail));
    }

    private record PendingRequest(HttpRequest order, int maxConnections, Consumer<HttpOutcome> handler) {}

    private final class ConnectAttempt implements ClientCallback<ClientConnection> {

        private XnioExecutor.Key timeout;

        private boolean ended;

        @Override
        public void completed(ClientConnection connection) {
            ioThread.execute(() -> onConnected(connection));
        }

        @Override
        public void failed(IOException error) {
            ioThread.execute(() -> onConnectFailed(error));
        }

        private void onConnected(ClientConnection connection) {
            if (ended) {
                IoUtils.safeClose(connection);
                return;
            }
            end();
            idleConnections.add(new PooledConnection(connection, clock.now()));
            sendPendingRequests();
        }

        private void onConnectFailed(IOException error) {
            if (ended) {
                return;
            }
            end();
            if (busyConnections.isEmpty() && connectAttempts == 0) {
                failPendingRequests(error.getMessage());
            } else if (!pendingRequests.isEmpty()) {
                // A busy connection may be a long poll, so the request must not wait for it.
                pendingRequests.poll().handler().accept(notSent(error.getMessage()));
            }
        }

        private void end() {
            ended = true;
            connectAttempts--;
            if (timeout != null) {
                timeout.remove();
            }
        }
    }
}
