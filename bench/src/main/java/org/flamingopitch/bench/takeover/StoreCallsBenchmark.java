package org.flamingopitch.bench.takeover;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Benchmark;
import org.flamingopitch.bench.cli.DemoDeployment;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.standins.kv.CallCounts;
import org.flamingopitch.transport.http.HostPort;

/**
 * Measures the rate of calls that eight entry hosts make to the key-value service: when idle, and under a load of
 * booking holds (requests with an idempotency key) and jobs.
 */
public final class StoreCallsBenchmark implements Benchmark {

    private static final int HOST_COUNT = 8;

    private static final int WORKERS_PER_DATA_CENTRE = 8;

    private static final int DEFAULT_SECONDS = 20;

    private static final int HOLDS_PER_SECOND = 50;

    private static final int HOLDS_PER_JOB = 10;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final TimeSource clock = new SystemTimeSourceClock();

    @Override
    public void run(CommandLine commandLine) throws InterruptedException {
        int seconds = Benchmark.intOption(commandLine, "seconds", DEFAULT_SECONDS);
        try (DemoDeployment deployment = DemoDeployment.start(WORKERS_PER_DATA_CENTRE, HOST_COUNT)) {
            HostPort store = deployment.platform().storeAddress();
            LockSupport.parkNanos(5 * NANOS_PER_SECOND);
            CallCounts before = fetchCallCounts(store);
            LockSupport.parkNanos(seconds * NANOS_PER_SECOND);
            printRates("idle", before, fetchCallCounts(store), seconds);
            CallCounts beforeLoad = fetchCallCounts(store);
            Instant start = clock.now();
            generateLoad(deployment, seconds);
            double elapsedSeconds = Duration.between(start, clock.now()).toMillis() / 1e3;
            printRates(
                    HOLDS_PER_SECOND + " booking holds and " + HOLDS_PER_SECOND / HOLDS_PER_JOB + " jobs per second",
                    beforeLoad,
                    fetchCallCounts(store),
                    elapsedSeconds);
        }
    }

    private void generateLoad(DemoDeployment deployment, int seconds) throws InterruptedException {
        Instant start = clock.now();
        for (int i = 0; i < seconds * HOLDS_PER_SECOND; i++) {
            Instant dueTime = start.plusNanos(i * NANOS_PER_SECOND / HOLDS_PER_SECOND);
            LockSupport.parkNanos(
                    Math.max(0, Duration.between(clock.now(), dueTime).toNanos()));
            EntryHost host = deployment.platform().hosts().get(i % HOST_COUNT);
            int number = i;
            new Thread(() -> sendHoldAndJob(host, number)).start();
        }
    }

    private static void sendHoldAndJob(EntryHost host, int number) {
        try {
            DemoDeployment.send(
                    host.callerAddress(), "POST", "/v1/run/booking-hold?key=hold-" + number, "{\"workMillis\":5}");
            if (number % HOLDS_PER_JOB == 0) {
                DemoDeployment.send(
                        host.callerAddress(), "POST", "/v1/jobs/render?key=job-" + number, "{\"workMillis\":400}");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static CallCounts fetchCallCounts(HostPort store) throws InterruptedException {
        return JsonCodec.json().decode(DemoDeployment.send(store, "GET", "/v1/calls", ""), CallCounts.class);
    }

    private static void printRates(String title, CallCounts before, CallCounts after, double seconds) {
        System.out.printf(
                Locale.ROOT,
                "%d entry hosts, %s: %.1f writes/s, %.1f reads/s, %.0f characters/s written%n",
                HOST_COUNT,
                title,
                (after.writes() - before.writes()) / seconds,
                (after.reads() - before.reads()) / seconds,
                (after.bytesWritten() - before.bytesWritten()) / seconds);
    }
}
