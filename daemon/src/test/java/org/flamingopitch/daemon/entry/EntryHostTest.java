package org.flamingopitch.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.daemon.cli.HostClient;
import org.flamingopitch.daemon.demo.DemoPlatform;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpOutcome;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests that an entry host rejects malformed input with an error that names the cause, and stays live. */
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
    void rejectsUnknownKindsPathsAndMethods() {
        assertAnswer(host.callerAddress(), "POST", "/v1/run/nonsense", "{}", 404, "NOT_CONFIGURED");
        assertAnswer(host.callerAddress(), "GET", "/nonsense", "", 404, "no such path");
        assertAnswer(host.callerAddress(), "PUT", "/v1/keys", "", 405, "not allowed");
    }

    @Test
    void rejectsJobsWithoutKeyAndKeysOverMaximumLength() {
        assertAnswer(host.callerAddress(), "POST", "/v1/jobs/render", "{}", 400, "Idempotency-Key");
        String longKey = "x".repeat(200);
        assertAnswer(host.callerAddress(), "POST", "/v1/run/k?key=" + longKey, "{}", 400, "at most 128");
    }

    @Test
    void rejectsBodiesOverMaximumSize() {
        String large = "x".repeat(300 << 10);
        assertAnswer(host.callerAddress(), "POST", "/v1/run/price-check", large, 400, "more than");
    }

    @Test
    void rejectsInvalidConfigurationAndKeepsVersion() {
        String path = "/v1/config?expected=0&who=test";
        assertAnswer(host.operatorAddress(), "PUT", path, "{\"homeRegion\":1}", 400, "/homeRegion");
        assertAnswer(host.operatorAddress(), "PUT", path, "not json", 400, "line 1");
        assertAnswer(host.operatorAddress(), "PUT", "/v1/config?who=test", "{}", 400, "expected");
        assertAnswer(host.operatorAddress(), "GET", "/v1/config", "", 200, "\"version\":0");
    }

    @Test
    void closesPeerConnectionsWithInvalidFramesAndStaysLive() throws IOException {
        assertThat(sendToPeerPort("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8)))
                .isEqualTo(-1);
        assertThat(sendToPeerPort(createFrame("hello"))).isEqualTo(-1);
        assertThat(sendToPeerPort(createFrame("flamingopitch 99 intruder"))).isNotNegative();
        assertAnswer(host.operatorAddress(), "GET", "/health/live", "", 200, "live");
    }

    /** Sends bytes to the peer port and returns the first byte of the answer, or -1 if the connection is closed. */
    private static int sendToPeerPort(byte[] bytes) throws IOException {
        HostPort address = host.peerAddress();
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return socket.getInputStream().read();
        }
    }

    private static byte[] createFrame(String text) throws IOException {
        java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(body.length);
        out.write(body);
        return bytes.toByteArray();
    }

    private static void assertAnswer(
            HostPort address, String method, String path, String body, int expectedStatus, String expectedText) {
        try (HostClient client = new HostClient(address)) {
            HttpOutcome outcome = client.send(method, path, body);
            assertThat(outcome).isInstanceOf(HttpOutcome.Answered.class);
            HttpOutcome.Answered answer = (HttpOutcome.Answered) outcome;
            assertThat(answer.status()).as(answer.text()).isEqualTo(expectedStatus);
            assertThat(answer.text()).contains(expectedText);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
