package org.flamingopitch.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what silent connections cost: open ones that bring no answer any more and are not reset, while new ones work. */
final class SilentConnectionTest {

    private static final int MAX_CONNECTIONS = 4;

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final HttpClient client = new HttpClient("client", new SystemTimeSourceClock());

    private SilentServer server;

    @BeforeEach
    void start() throws IOException {
        server = new SilentServer();
        client.start();
    }

    @AfterEach
    void stop() throws IOException {
        client.stop();
        server.close();
    }

    private BlockingQueue<HttpOutcome> send(String path) {
        BlockingQueue<HttpOutcome> outcomes = new LinkedBlockingQueue<>();
        HttpRequest request = new HttpRequest("GET", path, new byte[0], TIMEOUT, Instant.MAX);
        client.send(server.address(), MAX_CONNECTIONS, request, outcomes::add);
        return outcomes;
    }

    private static HttpOutcome await(BlockingQueue<HttpOutcome> outcomes) throws InterruptedException {
        return outcomes.poll(5, TimeUnit.SECONDS);
    }

    /** Sends as many requests at once as there may be connections; all connections are idle afterwards. */
    private void useAllConnections() throws InterruptedException {
        server.holdAnswers();
        int before = server.receivedRequests();
        List<BlockingQueue<HttpOutcome>> pending = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            pending.add(send("/"));
        }
        server.awaitRequests(before + MAX_CONNECTIONS);
        server.releaseAnswers();
        for (BlockingQueue<HttpOutcome> each : pending) {
            assertThat(await(each)).isInstanceOf(HttpOutcome.Answered.class);
        }
    }

    @Test
    void onlyOneCallInARowIsLostToConnectionsThatWentSilentTogether() throws Exception {
        useAllConnections();
        server.silenceOpenConnections();
        assertThat(await(send("/"))).isInstanceOf(HttpOutcome.Lost.class);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            assertThat(await(send("/"))).isInstanceOf(HttpOutcome.Answered.class);
        }
    }

    @Test
    void secondSilenceCostsNoMoreThanTheFirst() throws Exception {
        for (int i = 0; i < 2; i++) {
            useAllConnections();
            server.silenceOpenConnections();
            assertThat(await(send("/"))).isInstanceOf(HttpOutcome.Lost.class);
            assertThat(await(send("/"))).isInstanceOf(HttpOutcome.Answered.class);
        }
    }

    @Test
    void callsAreAnsweredAfterOneTimeOutWhenAllPermittedConnectionsAreBusyAndSilent() throws Exception {
        useAllConnections();
        server.silenceOpenConnections();
        List<BlockingQueue<HttpOutcome>> lost = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            lost.add(send("/"));
        }
        BlockingQueue<HttpOutcome> waiting = send("/");
        for (BlockingQueue<HttpOutcome> each : lost) {
            assertThat(await(each)).isInstanceOf(HttpOutcome.Lost.class);
        }
        assertThat(await(waiting)).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(server.acceptedConnections()).isEqualTo(MAX_CONNECTIONS + 1);
    }

    /** The other connections brought answers since the long poll was sent, but before they went silent. */
    @Test
    void onlyTheLongPollIsLostToConnectionsThatWentSilentWhileItWaited() throws Exception {
        useAllConnections();
        BlockingQueue<HttpOutcome> longPoll = sendLongPoll();
        server.awaitRequests(MAX_CONNECTIONS + 1);
        assertThat(await(send("/"))).isInstanceOf(HttpOutcome.Answered.class);
        server.silenceOpenConnections();
        assertThat(await(longPoll)).isInstanceOf(HttpOutcome.Lost.class);
        assertThat(await(send("/"))).isInstanceOf(HttpOutcome.Answered.class);
    }

    private BlockingQueue<HttpOutcome> sendLongPoll() {
        BlockingQueue<HttpOutcome> outcomes = new LinkedBlockingQueue<>();
        Duration wait = Duration.ofSeconds(1);
        HttpRequest request = new HttpRequest(
                        "GET", SilentServer.UNANSWERED_PATH, new byte[0], wait.plus(TIMEOUT), Instant.MAX)
                .withServerWait(wait);
        client.send(server.address(), MAX_CONNECTIONS, request, outcomes::add);
        return outcomes;
    }

    /** Closing them would cost a new connection for each call that a busy server leaves unanswered. */
    @Test
    void connectionsThatBroughtAnAnswerSinceTheLostCallWasSentAreKept() throws Exception {
        useAllConnections();
        BlockingQueue<HttpOutcome> lost = send(SilentServer.UNANSWERED_PATH);
        server.awaitRequests(MAX_CONNECTIONS + 1);
        server.holdAnswers();
        List<BlockingQueue<HttpOutcome>> answered = new ArrayList<>();
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            answered.add(send("/"));
        }
        server.awaitRequests(2 * MAX_CONNECTIONS);
        server.releaseAnswers();
        for (BlockingQueue<HttpOutcome> each : answered) {
            assertThat(await(each)).isInstanceOf(HttpOutcome.Answered.class);
        }
        assertThat(await(lost)).isInstanceOf(HttpOutcome.Lost.class);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            assertThat(await(send("/"))).isInstanceOf(HttpOutcome.Answered.class);
        }
        assertThat(server.acceptedConnections()).isEqualTo(MAX_CONNECTIONS);
    }

    @Test
    void silentServerGetsAtMostOneNewConnectionForEachCall() throws Exception {
        useAllConnections();
        for (int i = 0; i < 3; i++) {
            assertThat(await(send(SilentServer.UNANSWERED_PATH))).isInstanceOf(HttpOutcome.Lost.class);
        }
        assertThat(server.acceptedConnections()).isLessThanOrEqualTo(MAX_CONNECTIONS + 2);
    }

    @Test
    void lostCallIsNotSentAgain() throws Exception {
        useAllConnections();
        assertThat(await(send(SilentServer.UNANSWERED_PATH))).isInstanceOf(HttpOutcome.Lost.class);
        assertThat(await(send("/"))).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(server.receivedRequests()).isEqualTo(MAX_CONNECTIONS + 2);
    }
}
