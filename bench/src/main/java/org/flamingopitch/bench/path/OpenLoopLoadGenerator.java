package org.flamingopitch.bench.path;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpOutcome;
import org.flamingopitch.transport.http.HttpRequest;

/**
 * Open-loop load generator: sends requests at a fixed rate without waiting for answers. Latency is counted from the
 * time at which a request was due, so that delays in sending are included (no coordinated omission).
 */
final class OpenLoopLoadGenerator {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static final int MAX_CONNECTIONS = 256;

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient client;

    private final TimeSource clock;

    private final List<HostPort> targets;

    private final String path;

    private final byte[] body;

    private final AtomicLong failureCount = new AtomicLong();

    OpenLoopLoadGenerator(HttpClient client, TimeSource clock, List<HostPort> targets, String path, String body) {
        this.client = client;
        this.clock = clock;
        this.targets = targets;
        this.path = path;
        this.body = body.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Sends requests for a duration, waits for all answers, and returns the latencies of the successful ones in
     * nanoseconds.
     */
    Histogram run(int requestsPerSecond, Duration duration) throws InterruptedException {
        failureCount.set(0);
        Histogram latencies = new ConcurrentHistogram(3);
        int requestCount = (int) (requestsPerSecond * duration.toMillis() / 1_000);
        CountDownLatch unanswered = new CountDownLatch(requestCount);
        Instant start = clock.now();
        for (int i = 0; i < requestCount; i++) {
            Instant dueTime = start.plusNanos(i * NANOS_PER_SECOND / requestsPerSecond);
            waitUntil(dueTime);
            String requestPath = path.replace("{n}", Integer.toString(i));
            HttpRequest order = new HttpRequest("POST", requestPath, body, REQUEST_TIMEOUT, Instant.MAX);
            client.send(targets.get(i % targets.size()), MAX_CONNECTIONS, order, outcome -> {
                record(
                        outcome,
                        latencies,
                        Duration.between(dueTime, clock.now()).toNanos());
                unanswered.countDown();
            });
        }
        unanswered.await();
        return latencies;
    }

    long failureCount() {
        return failureCount.get();
    }

    private void record(HttpOutcome outcome, Histogram latencies, long latencyNanos) {
        if (outcome instanceof HttpOutcome.Answered answer && answer.success()) {
            latencies.recordValue(latencyNanos);
        } else {
            failureCount.incrementAndGet();
        }
    }

    private void waitUntil(Instant dueTime) {
        long remainingNanos = Duration.between(clock.now(), dueTime).toNanos();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = Duration.between(clock.now(), dueTime).toNanos();
        }
    }
}
