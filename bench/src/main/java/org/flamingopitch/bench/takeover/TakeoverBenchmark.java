package org.flamingopitch.bench.takeover;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Benchmark;
import org.flamingopitch.bench.cli.DemoDeployment;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.scheduler.node.ShardStatus;
import org.flamingopitch.scheduler.node.WorkerStatus;

/**
 * Measures takeover times: crashes the entry host that owns a rack, in a new deployment for each run, and waits until
 * other hosts own the rack and have recovered all shards.
 */
public final class TakeoverBenchmark implements Benchmark {

    private static final int DEFAULT_RUNS = 10;

    private static final int HOST_COUNT = 3;

    private static final String RACK = "centre-a/rack-1";

    private static final long POLL_INTERVAL_NANOS = 5_000_000L;

    private static final long SETTLE_TIME_NANOS = 1_500_000_000L;

    private static final int MAX_POLLS = 4_000;

    private final TimeSource clock = new SystemTimeSourceClock();

    @Override
    public void run(CommandLine commandLine) throws InterruptedException {
        int runs = Benchmark.intOption(commandLine, "runs", DEFAULT_RUNS);
        long[] rackMillis = new long[runs];
        long[] shardMillis = new long[runs];
        for (int i = 0; i < runs; i++) {
            measureTakeover(rackMillis, shardMillis, i);
        }
        printTimes("rack accepts work", rackMillis);
        printTimes("all shards recovered", shardMillis);
    }

    private void measureTakeover(long[] rackMillis, long[] shardMillis, int index) throws InterruptedException {
        try (DemoDeployment deployment = DemoDeployment.start(2, HOST_COUNT)) {
            LockSupport.parkNanos(SETTLE_TIME_NANOS);
            EntryHost owner = findHost(deployment, TakeoverBenchmark::rackAcceptsWork);
            Instant crashTime = clock.now();
            owner.crash();
            awaitHost(deployment, owner, TakeoverBenchmark::rackAcceptsWork);
            rackMillis[index] = Duration.between(crashTime, clock.now()).toMillis();
            awaitHost(deployment, owner, status -> true);
            while (countReadyShards(deployment, owner) < deployment.platform().shardCount()) {
                LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            }
            shardMillis[index] = Duration.between(crashTime, clock.now()).toMillis();
        }
    }

    private static boolean rackAcceptsWork(NodeStatus status) {
        return status.racks().stream()
                .filter(rack -> rack.rack().value().equals(RACK) && rack.active())
                .anyMatch(rack -> rack.workers().stream().allMatch(WorkerStatus::usable));
    }

    private static EntryHost findHost(DemoDeployment deployment, Predicate<NodeStatus> condition)
            throws InterruptedException {
        for (EntryHost host : deployment.platform().hosts()) {
            if (condition.test(deployment.fetchStatus(host))) {
                return host;
            }
        }
        throw new IllegalStateException("no entry host owns " + RACK);
    }

    private static void awaitHost(DemoDeployment deployment, EntryHost crashedHost, Predicate<NodeStatus> condition)
            throws InterruptedException {
        for (int i = 0; i < MAX_POLLS; i++) {
            for (EntryHost host : deployment.platform().hosts()) {
                if (host != crashedHost && condition.test(deployment.fetchStatus(host))) {
                    return;
                }
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        throw new IllegalStateException("no other entry host took over within " + MAX_POLLS + " polls");
    }

    private static long countReadyShards(DemoDeployment deployment, EntryHost crashedHost) throws InterruptedException {
        long ready = 0;
        for (EntryHost host : deployment.platform().hosts()) {
            if (host != crashedHost) {
                ready += deployment.fetchStatus(host).shards().stream()
                        .filter(ShardStatus::ready)
                        .count();
            }
        }
        return ready;
    }

    private static void printTimes(String title, long[] millis) {
        long[] sorted = millis.clone();
        Arrays.sort(sorted);
        System.out.printf(
                Locale.ROOT,
                "%s after the crash of the owner: min %d ms, median %d ms, max %d ms (%d runs)%n",
                title,
                sorted[0],
                sorted[sorted.length / 2],
                sorted[sorted.length - 1],
                sorted.length);
    }
}
