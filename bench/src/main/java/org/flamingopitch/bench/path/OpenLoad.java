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
import org.flamingopitch.transport.http.HttpOrder;
import org.flamingopitch.transport.http.HttpOutcome;

/** Sends requests at a fixed rate, whether answers come or not, and times each from its due time. */
final class OpenLoad {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static final int MAX_CONNECTIONS = 256;

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient client;

    private final TimeSource clock;

    private final List<HostPort> targets;

    private final String path;

    private final byte[] body;

    private final AtomicLong failures = new AtomicLong();

    OpenLoad(HttpClient client, TimeSource clock, List<HostPort> targets, String path, String body) {
        this.client = client;
        this.clock = clock;
        this.targets = targets;
        this.path = path;
        this.body = body.getBytes(StandardCharsets.UTF_8);
    }

    /** Sends requests and returns their times in nanoseconds. */
    Histogram run(int requestsPerSecond, Duration duration) throws InterruptedException {
        failures.set(0);
        Histogram times = new ConcurrentHistogram(3);
        int count = (int) (requestsPerSecond * duration.toMillis() / 1_000);
        CountDownLatch open = new CountDownLatch(count);
        Instant start = clock.now();
        for (int i = 0; i < count; i++) {
            Instant due = start.plusNanos(i * NANOS_PER_SECOND / requestsPerSecond);
            waitUntil(due);
            String numbered = path.replace("{n}", Integer.toString(i));
            HttpOrder order = new HttpOrder("POST", numbered, body, TIMEOUT, Instant.MAX);
            client.send(targets.get(i % targets.size()), MAX_CONNECTIONS, order, outcome -> {
                record(outcome, times, Duration.between(due, clock.now()).toNanos());
                open.countDown();
            });
        }
        open.await();
        return times;
    }

    long failures() {
        return failures.get();
    }

    private void record(HttpOutcome outcome, Histogram times, long nanos) {
        if (outcome instanceof HttpOutcome.Answered answer && answer.success()) {
            times.recordValue(nanos);
        } else {
            failures.incrementAndGet();
        }
    }

    private void waitUntil(Instant due) {
        long left = Duration.between(clock.now(), due).toNanos();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = Duration.between(clock.now(), due).toNanos();
        }
    }
}
