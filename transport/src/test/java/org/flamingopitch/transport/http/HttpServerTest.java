package org.flamingopitch.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

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

    /**
     * The process ends in the action. A request that comes then must stay in the buffer of the system: one that was read
     * and is not answered would be lost. Shown by the bytes that wait in the system's receive buffer.
     */
    @Test
    @EnabledOnOs(OS.LINUX)
    void requestThatComesWhileTheActionRunsIsNotRead() throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        byte[] request =
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody".getBytes(StandardCharsets.US_ASCII);
        HostPort address = server.boundAddress();
        try (Socket connection = new Socket(address.host(), address.port())) {
            connection.getOutputStream().write(request);
            calls.poll(5, TimeUnit.SECONDS).answer(reply());
            assertThat(connection.getInputStream().read()).isPositive();
            server.runWhenIdle(() -> {
                idle.countDown();
                awaitUninterruptibly(end);
            });
            assertThat(idle.await(5, TimeUnit.SECONDS)).isTrue();
            connection.getOutputStream().write(request);
            assertThat(calls.poll(350, TimeUnit.MILLISECONDS)).isNull();
            assertThat(unreadBytes(address.port(), connection.getLocalPort())).isEqualTo(request.length);
        } finally {
            end.countDown();
        }
        assertThat(calls.poll(5, TimeUnit.SECONDS)).isNotNull();
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns how many bytes the system has received for the server's end of a connection and the server has not read. */
    private static int unreadBytes(int serverPort, int clientPort) throws IOException {
        List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp")));
        lines.addAll(Files.readAllLines(Path.of("/proc/net/tcp6")));
        for (String line : lines) {
            String[] fields = line.strip().split("\\s+");
            if (fields[1].endsWith(String.format(":%04X", serverPort))
                    && fields[2].endsWith(String.format(":%04X", clientPort))) {
                return Integer.parseInt(fields[4].substring(fields[4].indexOf(':') + 1), 16);
            }
        }
        throw new AssertionError("no connection from port " + clientPort + " to port " + serverPort);
    }

    private static String text(HttpOutcome outcome) {
        return new String(((HttpOutcome.Answered) outcome).body(), StandardCharsets.UTF_8);
    }
}
