package org.flamingopitch.bench.takeover;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Bench;
import org.flamingopitch.bench.cli.DemoDeployment;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.scheduler.node.ShardStatus;
import org.flamingopitch.scheduler.node.WorkerStatus;

/** Ends the entry host that owns a rack and shards, again and again, and times until others have taken over. */
public final class TakeoverBench implements Bench {

    private static final int DEFAULT_RUNS = 10;

    private static final int HOSTS = 3;

    private static final String NEAR_RACK = "centre-a/rack-1";

    private static final long POLL_NANOS = 5_000_000L;

    private static final long SETTLE_NANOS = 1_500_000_000L;

    private static final int MAX_POLLS = 4_000;

    private final TimeSource clock = new SystemTimeSourceClock();

    @Override
    public void run(CommandLine line) throws InterruptedException {
        int runs = Bench.number(line, "runs", DEFAULT_RUNS);
        long[] rackMillis = new long[runs];
        long[] shardMillis = new long[runs];
        for (int i = 0; i < runs; i++) {
            runOnce(rackMillis, shardMillis, i);
        }
        print("a rack takes new work again", rackMillis);
        print("all shards are read back", shardMillis);
    }

    private void runOnce(long[] rackMillis, long[] shardMillis, int index) throws InterruptedException {
        try (DemoDeployment deployment = DemoDeployment.start(2, HOSTS)) {
            LockSupport.parkNanos(SETTLE_NANOS);
            EntryHost owner = find(deployment, TakeoverBench::takesWork);
            Instant killed = clock.now();
            owner.crash();
            await(deployment, owner, TakeoverBench::takesWork);
            rackMillis[index] = Duration.between(killed, clock.now()).toMillis();
            await(deployment, owner, status -> true);
            while (readyShards(deployment, owner) < deployment.platform().shardCount()) {
                LockSupport.parkNanos(POLL_NANOS);
            }
            shardMillis[index] = Duration.between(killed, clock.now()).toMillis();
        }
    }

    private static boolean takesWork(NodeStatus status) {
        return status.racks().stream()
                .filter(rack -> rack.rack().value().equals(NEAR_RACK) && rack.active())
                .anyMatch(rack -> rack.workers().stream().allMatch(WorkerStatus::usable));
    }

    private static EntryHost find(DemoDeployment deployment, Predicate<NodeStatus> wanted) throws InterruptedException {
        for (EntryHost host : deployment.platform().hosts()) {
            if (wanted.test(deployment.status(host))) {
                return host;
            }
        }
        throw new IllegalStateException("no entry host owns " + NEAR_RACK);
    }

    private static void await(DemoDeployment deployment, EntryHost ended, Predicate<NodeStatus> wanted)
            throws InterruptedException {
        for (int i = 0; i < MAX_POLLS; i++) {
            for (EntryHost host : deployment.platform().hosts()) {
                if (host != ended && wanted.test(deployment.status(host))) {
                    return;
                }
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        throw new IllegalStateException("no takeover in time");
    }

    private static long readyShards(DemoDeployment deployment, EntryHost ended) throws InterruptedException {
        long ready = 0;
        for (EntryHost host : deployment.platform().hosts()) {
            if (host != ended) {
                ready += deployment.status(host).shards().stream()
                        .filter(ShardStatus::ready)
                        .count();
            }
        }
        return ready;
    }

    private static void print(String title, long[] millis) {
        long[] sorted = millis.clone();
        Arrays.sort(sorted);
        System.out.printf(
                Locale.ROOT,
                "%s after the owner's end: min %d ms, median %d ms, max %d ms (%d times)%n",
                title,
                sorted[0],
                sorted[sorted.length / 2],
                sorted[sorted.length - 1],
                sorted.length);
    }
}
