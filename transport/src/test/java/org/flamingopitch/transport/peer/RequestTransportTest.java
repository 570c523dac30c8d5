package org.flamingopitch.transport.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.transport.http.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests to a peer that answers late or not at all. */
final class RequestTransportTest {

    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);

    private final BlockingQueue<HeldRequest> heldRequests = new LinkedBlockingQueue<>();

    private HostPort address;

    private RequestTransport transport;

    @BeforeEach
    void start() throws IOException {
        address = new HostPort("127.0.0.1", freePort());
        transport = new RequestTransport(
                address,
                (body, answer) -> heldRequests.add(new HeldRequest(new String(body, StandardCharsets.UTF_8), answer)));
        transport.start();
    }

    @AfterEach
    void stop() {
        transport.stop();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private BlockingQueue<RequestOutcome> send(String body, Duration timeout) {
        BlockingQueue<RequestOutcome> outcomes = new ArrayBlockingQueue<>(1);
        transport.send(address, body.getBytes(StandardCharsets.UTF_8), timeout, outcomes::add);
        return outcomes;
    }

    private HeldRequest receive() throws InterruptedException {
        HeldRequest request = heldRequests.poll(5, TimeUnit.SECONDS);
        assertThat(request).isNotNull();
        return request;
    }

    private static RequestOutcome await(BlockingQueue<RequestOutcome> outcomes) throws InterruptedException {
        return outcomes.poll(5, TimeUnit.SECONDS);
    }

    @Test
    void requestThatASlowPeerWorksOnSurvivesTheTimeoutOfAnother() throws InterruptedException {
        BlockingQueue<RequestOutcome> unanswered = send("unanswered", SHORT_TIMEOUT);
        receive();
        BlockingQueue<RequestOutcome> quick = send("quick", LONG_TIMEOUT);
        receive().answer();
        assertThat(await(quick)).isInstanceOf(RequestOutcome.Answered.class);
        BlockingQueue<RequestOutcome> slow = send("slow", LONG_TIMEOUT);
        HeldRequest slowRequest = receive();
        assertThat(await(unanswered)).isInstanceOf(RequestOutcome.Lost.class);
        slowRequest.answer();
        assertThat(await(slow)).isInstanceOf(RequestOutcome.Answered.class);
    }

    @Test
    void connectionThatBringsNoAnswerIsReplaced() throws InterruptedException {
        BlockingQueue<RequestOutcome> first = send("first", SHORT_TIMEOUT);
        BlockingQueue<RequestOutcome> second = send("second", LONG_TIMEOUT);
        assertThat(await(first)).isInstanceOf(RequestOutcome.Lost.class);
        assertThat(await(second)).isInstanceOf(RequestOutcome.Lost.class);
        receive();
        receive();
        BlockingQueue<RequestOutcome> third = send("third", LONG_TIMEOUT);
        receive().answer();
        assertThat(await(third)).isInstanceOf(RequestOutcome.Answered.class);
    }

    private record HeldRequest(String body, Consumer<byte[]> handler) {

        private void answer() {
            handler.accept(body.getBytes(StandardCharsets.UTF_8));
        }
    }
}
