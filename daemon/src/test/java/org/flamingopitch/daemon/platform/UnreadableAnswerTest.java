package org.flamingopitch.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.model.WorkerSpec;
import org.flamingopitch.scheduler.worker.HostStatus;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRoutes;
import org.flamingopitch.transport.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An answer that cannot be read must fail its own call: a call that is never completed is never repeated. */
final class UnreadableAnswerTest {

    private static final int NESTING = 100_000;

    private static final WorkerId WORKER = new WorkerId("w");

    private volatile String body = "";

    private final HttpServer server = new HttpServer(
            "platform",
            new HostPort("127.0.0.1", 0),
            new HttpRoutes()
                    .onUnmatched(call -> call.answer(
                            new HttpReply(HttpReply.OK, "application/json", body.getBytes(StandardCharsets.UTF_8)))),
            1);

    private final HttpClient http = new HttpClient("client", new SystemTimeSourceClock());

    static Stream<String> unreadableBodies() {
        return Stream.of(
                "",
                "null",
                "7",
                "[]",
                "{}",
                "{",
                "{\"hosts\":null}",
                "{\"hosts\":[null]}",
                "{\"hosts\":[{}]}",
                "{\"hosts\":[{\"host\":\"\"}]}",
                "{\"version\":1e999}",
                "{\"version\":92233720368547758070}",
                "{\"lease\":null}",
                "{\"entries\":[null],\"revision\":1,\"complete\":true}",
                "{\"entries\":[{\"value\":\"v\",\"version\":1}],\"revision\":1,\"complete\":true}",
                "{\"revision\":1,\"complete\":true}",
                "{\"tasks\":[],\"requests\":[],\"connections\":0}",
                "{\"tasks\":[null],\"requests\":[],\"connections\":0,\"usage\":{\"ageMillis\":1}}",
                "[".repeat(NESTING),
                "{\"a\":".repeat(NESTING));
    }

    @BeforeEach
    void start() {
        server.start();
        http.start();
    }

    @AfterEach
    void stop() {
        http.stop();
        server.stop();
    }

    private static <T> T next(BlockingQueue<T> results) throws InterruptedException {
        return results.poll(5, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @MethodSource("unreadableBodies")
    void listOfHostsIsReadAgainAfterOneThatCannotBeRead(String unreadable) throws InterruptedException {
        body = unreadable;
        BlockingQueue<List<HostStatus>> lists = new LinkedBlockingQueue<>();
        HostListPoller poller = new HostListPoller(http, server.boundAddress(), lists::add);
        poller.start();
        try {
            assertThat(lists.poll(200, TimeUnit.MILLISECONDS)).isNull();
            body = "{\"hosts\":[{\"host\":\"h\",\"state\":\"leaving\"}]}";
            assertThat(next(lists)).containsExactly(new HostStatus(new WorkerId("h"), true));
        } finally {
            poller.stop();
        }
    }

    @Test
    void listOfHostsIsReadAgainAfterACallThatCouldNotBeMade() throws InterruptedException {
        http.stop();
        body = "{\"hosts\":[]}";
        BlockingQueue<List<HostStatus>> lists = new LinkedBlockingQueue<>();
        HostListPoller poller = new HostListPoller(http, server.boundAddress(), lists::add);
        poller.start();
        try {
            assertThat(lists.poll(200, TimeUnit.MILLISECONDS)).isNull();
            http.start();
            assertThat(next(lists)).isEmpty();
        } finally {
            poller.stop();
        }
    }

    @ParameterizedTest
    @MethodSource("unreadableBodies")
    void callsToTheKeyValueServiceFail(String unreadable) throws InterruptedException {
        body = unreadable;
        HttpKeyValueClient client = new HttpKeyValueClient(http, server.boundAddress());
        List<KeyValueRequest> requests = List.of(
                new KeyValueRequest.Get("k"),
                new KeyValueRequest.ListPrefix("k"),
                new KeyValueRequest.Put("k", "v", 0, null),
                new KeyValueRequest.GrantLease(Duration.ofSeconds(1)));
        for (KeyValueRequest request : requests) {
            BlockingQueue<KeyValueResult> results = new LinkedBlockingQueue<>();
            client.call(request, results::add);
            assertThat(next(results)).as(request.toString()).isInstanceOf(KeyValueResult.Failed.class);
        }
    }

    @ParameterizedTest
    @MethodSource("unreadableBodies")
    void reportOfAWorkerCountsAsLost(String unreadable) throws InterruptedException {
        body = unreadable;
        assertThat(report(server.boundAddress().toString())).isInstanceOf(WorkerResult.Lost.class);
    }

    /** The configuration may list any address; an exception here would end the process at each start. */
    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:-1", "10.0.0.9", "", "10.0.0.9:99999999999"})
    void callToAWorkerWithoutAValidAddressIsNotSent(String address) throws InterruptedException {
        assertThat(report(address)).isInstanceOf(WorkerResult.NotSent.class);
    }

    private WorkerResult report(String address) throws InterruptedException {
        WorkerSpec worker = new WorkerSpec(WORKER, address, new Resources(1, 1, 0), 1, 8);
        BlockingQueue<WorkerResult> results = new LinkedBlockingQueue<>();
        new HttpWorkerClient(http, new SystemTimeSourceClock())
                .call(worker, new WorkerRequest.Report(List.of(), Instant.MAX, List.of()), Instant.MAX, results::add);
        return next(results);
    }
}
