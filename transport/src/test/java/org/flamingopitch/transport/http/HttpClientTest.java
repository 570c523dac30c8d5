package org.flamingopitch.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the client against a server whose connections are accepted, refused and closed by the test. */
final class HttpClientTest {

    private static final int MAX_CONNECTIONS = 4;

    private static final Duration LONG_POLL = Duration.ofSeconds(20);

    private static final Duration SHORT_CALL = Duration.ofSeconds(1);

    private final HttpClient client = new HttpClient("client", new SystemTimeSourceClock());

    private ServerSocket server;

    private HostPort address;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        address = new HostPort("127.0.0.1", server.getLocalPort());
        client.start();
    }

    @AfterEach
    void stop() throws IOException {
        client.stop();
        server.close();
    }

    private BlockingQueue<HttpOutcome> send(Duration timeout) {
        return send(MAX_CONNECTIONS, new HttpRequest("GET", "/", new byte[0], timeout, Instant.MAX));
    }

    private BlockingQueue<HttpOutcome> send(int maxConnections, HttpRequest request) {
        BlockingQueue<HttpOutcome> outcomes = new ArrayBlockingQueue<>(1);
        client.send(address, maxConnections, request, outcomes::add);
        return outcomes;
    }

    @Test
    void requestThatIsWithdrawnWhileItWaitsForAConnectionIsNotSent() throws Exception {
        BlockingQueue<HttpOutcome> first = send(1, new HttpRequest("GET", "/", new byte[0], SHORT_CALL, Instant.MAX));
        try (Socket busy = server.accept()) {
            AtomicBoolean withdrawn = new AtomicBoolean();
            HttpRequest waiting =
                    new HttpRequest("GET", "/", new byte[0], LONG_POLL, Instant.MAX, List.of(), withdrawn::get);
            BlockingQueue<HttpOutcome> second = send(1, waiting);
            withdrawn.set(true);
            assertThat(first.poll(5, TimeUnit.SECONDS)).isInstanceOf(HttpOutcome.Lost.class);
            assertThat(second.poll(5, TimeUnit.SECONDS)).isInstanceOf(HttpOutcome.NotSent.class);
            assertThat(busy.isConnected()).isTrue();
        }
    }

    @Test
    void requestDoesNotWaitForALongPollWhenNoFurtherConnectionCanBeOpened() throws Exception {
        BlockingQueue<HttpOutcome> longPoll = send(LONG_POLL);
        try (Socket held = server.accept()) {
            assertThat(held.getInputStream().read()).isEqualTo('G');
            server.close();
            HttpOutcome outcome = send(SHORT_CALL).poll(5, TimeUnit.SECONDS);
            assertThat(outcome).isInstanceOf(HttpOutcome.NotSent.class);
            assertThat(longPoll).isEmpty();
        }
    }

    @Test
    void waitingRequestsGetNewConnectionsAfterTheOldOnesWereClosed() throws Exception {
        BlockingQueue<HttpOutcome> longPoll = send(LONG_POLL);
        Socket held = server.accept();
        assertThat(held.getInputStream().read()).isEqualTo('G');
        BlockingQueue<HttpOutcome> second = send(SHORT_CALL);
        server.accept().close();
        assertThat(second.poll(5, TimeUnit.SECONDS)).isInstanceOf(HttpOutcome.Lost.class);
        send(SHORT_CALL);
        try (Socket next = server.accept()) {
            assertThat(next.getInputStream().read()).isEqualTo('G');
        }
        assertThat(longPoll).isEmpty();
        held.close();
    }
}
