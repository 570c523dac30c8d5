package org.flamingopitch.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a server which is about to end answers every request that it has received. */
final class HttpServerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();

    private final HttpServer server =
            new HttpServer("server", new HostPort("127.0.0.1", 0), new HttpRoutes().onUnmatched(calls::add), 1);

    private final HttpClient client = new HttpClient("client", new SystemTimeSourceClock());

    private final CountDownLatch idle = new CountDownLatch(1);

    @BeforeEach
    void start() {
        server.start();
        client.start();
    }

    @AfterEach
    void stop() {
        client.stop();
        server.stop();
    }

    private BlockingQueue<HttpOutcome> send() {
        BlockingQueue<HttpOutcome> outcomes = new ArrayBlockingQueue<>(1);
        client.send(
                server.boundAddress(),
                4,
                new HttpRequest("GET", "/", new byte[0], TIMEOUT, Instant.MAX),
                outcomes::add);
        return outcomes;
    }

    private static HttpReply reply() {
        return HttpReply.text(HttpReply.OK, "answer");
    }

    @Test
    void actionWaitsUntilEveryReceivedRequestIsAnswered() throws InterruptedException {
        BlockingQueue<HttpOutcome> first = send();
        BlockingQueue<HttpOutcome> second = send();
        HttpCall firstCall = calls.poll(5, TimeUnit.SECONDS);
        HttpCall secondCall = calls.poll(5, TimeUnit.SECONDS);
        server.runWhenIdle(idle::countDown);
        firstCall.answer(reply());
        assertThat(idle.await(200, TimeUnit.MILLISECONDS)).isFalse();
        secondCall.answer(reply());
        assertThat(idle.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(text(first.poll(5, TimeUnit.SECONDS))).isEqualTo("answer");
        assertThat(text(second.poll(5, TimeUnit.SECONDS))).isEqualTo("answer");
    }

    @Test
    void actionOfAnIdleServerRunsAtOnce() throws InterruptedException {
        server.runWhenIdle(idle::countDown);
        assertThat(idle.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(server.callsInProgress()).isZero();
    }

    private static String text(HttpOutcome outcome) {
        return new String(((HttpOutcome.Answered) outcome).body(), StandardCharsets.UTF_8);
    }
}
