package org.flamingopitch.bench.takeover;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Bench;
import org.flamingopitch.bench.cli.DemoDeployment;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.standins.kv.CallCounts;
import org.flamingopitch.transport.http.HostPort;

/** Counts the calls to the key-value service of eight entry hosts: idle, and with holds and jobs. */
public final class StoreCallsBench implements Bench {

    private static final int HOSTS = 8;

    private static final int WORKERS_PER_CENTRE = 8;

    private static final int DEFAULT_SECONDS = 20;

    private static final int HOLDS_PER_SECOND = 50;

    private static final int HOLDS_PER_JOB = 10;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final TimeSource clock = new SystemTimeSourceClock();

    @Override
    public void run(CommandLine line) throws InterruptedException {
        int seconds = Bench.number(line, "seconds", DEFAULT_SECONDS);
        try (DemoDeployment deployment = DemoDeployment.start(WORKERS_PER_CENTRE, HOSTS)) {
            HostPort store = deployment.platform().storeAddress();
            LockSupport.parkNanos(5 * NANOS_PER_SECOND);
            CallCounts before = counts(store);
            LockSupport.parkNanos(seconds * NANOS_PER_SECOND);
            print("idle", before, counts(store), seconds);
            CallCounts beforeLoad = counts(store);
            Instant start = clock.now();
            load(deployment, seconds);
            double took = Duration.between(start, clock.now()).toMillis() / 1e3;
            print(
                    HOLDS_PER_SECOND + " holds and " + HOLDS_PER_SECOND / HOLDS_PER_JOB + " jobs a second",
                    beforeLoad,
                    counts(store),
                    took);
        }
    }

    private void load(DemoDeployment deployment, int seconds) throws InterruptedException {
        Instant start = clock.now();
        for (int i = 0; i < seconds * HOLDS_PER_SECOND; i++) {
            Instant due = start.plusNanos(i * NANOS_PER_SECOND / HOLDS_PER_SECOND);
            LockSupport.parkNanos(Math.max(0, Duration.between(clock.now(), due).toNanos()));
            EntryHost host = deployment.platform().hosts().get(i % HOSTS);
            int number = i;
            new Thread(() -> sendOne(host, number)).start();
        }
    }

    private static void sendOne(EntryHost host, int number) {
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

    private static CallCounts counts(HostPort store) throws InterruptedException {
        return JsonCodec.json().decode(DemoDeployment.send(store, "GET", "/v1/calls", ""), CallCounts.class);
    }

    private static void print(String title, CallCounts before, CallCounts after, double seconds) {
        System.out.printf(
                Locale.ROOT,
                "%d entry hosts, %s: %.1f writes/s, %.1f reads/s, %.0f characters/s written%n",
                HOSTS,
                title,
                (after.writes() - before.writes()) / seconds,
                (after.reads() - before.reads()) / seconds,
                (after.bytesWritten() - before.bytesWritten()) / seconds);
    }
}
