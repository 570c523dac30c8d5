package org.flamingopitch.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.daemon.cli.OperatorClient;
import org.flamingopitch.daemon.demo.DemoPlatform;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpOutcome;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Hostile and malformed input gets a clear error, and the entry host goes on. */
final class EntryHostTest {

    private static DemoPlatform platform;

    private static EntryHost host;

    @BeforeAll
    static void start() {
        platform = new DemoPlatform(new SystemTimeSourceClock(), 1, 1);
        platform.start();
        host = platform.hosts().get(0);
    }

    @AfterAll
    static void stop() {
        platform.stop();
    }

    @Test
    void refusesUnknownKindsAndPaths() {
        assertAnswer(host.callerAddress(), "POST", "/v1/run/nonsense", "{}", 404, "NOT_CONFIGURED");
        assertAnswer(host.callerAddress(), "GET", "/nonsense", "", 404, "no such path");
        assertAnswer(host.callerAddress(), "PUT", "/v1/keys", "", 405, "not allowed");
    }

    @Test
    void refusesJobsWithoutAKeyAndBadKeys() {
        assertAnswer(host.callerAddress(), "POST", "/v1/jobs/render", "{}", 400, "Idempotency-Key");
        String longKey = "x".repeat(200);
        assertAnswer(host.callerAddress(), "POST", "/v1/run/k?key=" + longKey, "{}", 400, "at most 128");
    }

    @Test
    void refusesLargeBodies() {
        String large = "x".repeat(300 << 10);
        assertAnswer(host.callerAddress(), "POST", "/v1/run/price-check", large, 400, "more than");
    }

    @Test
    void refusesABadConfigurationWhole() {
        String path = "/v1/config?expected=0&who=test";
        assertAnswer(host.operatorAddress(), "PUT", path, "{\"homeRegion\":1}", 400, "/homeRegion");
        assertAnswer(host.operatorAddress(), "PUT", path, "not json", 400, "line 1");
        assertAnswer(host.operatorAddress(), "PUT", "/v1/config?who=test", "{}", 400, "expected");
        assertAnswer(host.operatorAddress(), "GET", "/v1/config", "", 200, "\"version\":0");
    }

    @Test
    void closesPeersWithBadFramesAndGoesOn() throws IOException {
        assertThat(peerAnswer("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8)))
                .isEqualTo(-1);
        assertThat(peerAnswer(frame("hello"))).isEqualTo(-1);
        assertThat(peerAnswer(frame("flamingopitch 99 intruder"))).isNotNegative();
        assertAnswer(host.operatorAddress(), "GET", "/health/live", "", 200, "live");
    }

    /** Sends bytes to the peers' port and returns the first byte of the answer, or -1 if the connection is closed. */
    private static int peerAnswer(byte[] bytes) throws IOException {
        HostPort address = host.peerAddress();
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return socket.getInputStream().read();
        }
    }

    private static byte[] frame(String text) throws IOException {
        java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(body.length);
        out.write(body);
        return bytes.toByteArray();
    }

    private static void assertAnswer(
            HostPort address, String method, String path, String body, int status, String text) {
        try (OperatorClient client = new OperatorClient(address)) {
            HttpOutcome outcome = client.send(method, path, body);
            assertThat(outcome).isInstanceOf(HttpOutcome.Answered.class);
            HttpOutcome.Answered answer = (HttpOutcome.Answered) outcome;
            assertThat(answer.status()).as(answer.text()).isEqualTo(status);
            assertThat(answer.text()).contains(text);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
