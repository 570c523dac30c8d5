package org.flamingopitch.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.time.Clock;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that the stand-in for the store keeps to the protocol of the platform. */
@Timeout(60)
final class StoreStandInTest {

    private static final int DEADLINE_MILLIS = 20_000;

    private static final String CREATE =
            "{\"precondition\":[{\"key\":\"k\",\"revision\":0}],\"puts\":[{\"key\":\"k\",\"value\":\"YQ==\"}]}";

    private final Timeline timeline = new Timeline(System::nanoTime, Clock.systemUTC());

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    private StoreStandIn store;

    private InetSocketAddress address;

    @BeforeEach
    void start() throws IOException {
        store = new StoreStandIn(timeline, threads, new SplittableRandom(1));
        store.start(timer);
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), store.open(0));
    }

    @AfterEach
    void stop() {
        store.stop();
        timer.shutdownNow();
        threads.shutdownNow();
    }

    @Test
    void transactionWhoseConditionFailsChangesNothing() throws IOException {
        long revision = body(call("POST", "/kv-txn", CREATE)).path("revision").asLong();
        CallerConnection.Response second = call("POST", "/kv-txn", CREATE);
        assertThat(second.status()).isEqualTo(412);
        assertThat(body(second).path("items").get(0).path("revision").asLong()).isEqualTo(revision);
        assertThat(body(call("GET", "/kv-key?key=k", "")).path("revision").asLong())
                .isEqualTo(revision);
    }

    @Test
    void keyIsRemovedWhenItsLeaseEnds() throws IOException, InterruptedException {
        long lease = body(call("POST", "/kv-lease", "{\"ttlMs\":1000}"))
                .path("lease")
                .asLong();
        call("POST", "/kv-txn", "{\"puts\":[{\"key\":\"k\",\"value\":\"YQ==\",\"lease\":" + lease + "}]}");
        JsonNode watched = body(call("GET", "/kv-watch?prefix=k&after=101&waitMs=10000", ""));
        assertThat(watched.path("events").get(0).path("tombstone").asBoolean()).isTrue();
        assertThat(call("POST", "/kv-keep/" + lease, "").status()).isEqualTo(404);
        assertThat(call("GET", "/kv-key?key=k", "").status()).isEqualTo(404);
    }

    @Test
    void watchFromAForgottenRevisionIsAnsweredWithGone() throws IOException {
        call("POST", "/kv-txn", CREATE);
        store.compact();
        assertThat(call("GET", "/kv-watch?prefix=k&after=100&waitMs=0", "").status())
                .isEqualTo(410);
    }

    @Test
    void refusedHostChangesNothing() throws IOException {
        store.refuse(0, true);
        assertThat(call("POST", "/kv-txn", CREATE).status()).isEqualTo(503);
        store.refuse(0, false);
        assertThat(call("GET", "/kv-key?key=k", "").status()).isEqualTo(404);
    }

    @Test
    void callWhoseAnswerIsLostIsExecuted() throws IOException {
        store.loseAnswers(true);
        assertThatThrownBy(() -> {
                    for (int i = 0; i < 100; i++) {
                        call("POST", "/kv-txn", CREATE, 1_000);
                    }
                })
                .isInstanceOf(SocketTimeoutException.class);
        store.loseAnswers(false);
        assertThat(call("GET", "/kv-key?key=k", "").status()).isEqualTo(200);
    }

    private CallerConnection.Response call(String method, String path, String body) throws IOException {
        return call(method, path, body, DEADLINE_MILLIS);
    }

    private CallerConnection.Response call(String method, String path, String body, int deadlineMillis)
            throws IOException {
        try (CallerConnection connection = new CallerConnection(address, deadlineMillis)) {
            return connection.call(method, path, body);
        }
    }

    private static JsonNode body(CallerConnection.Response response) throws IOException {
        return Json.read(response.body());
    }
}
