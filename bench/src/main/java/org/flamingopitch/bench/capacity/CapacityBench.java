package org.flamingopitch.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Bench;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.coordination.ownership.OwnershipEntry;
import org.flamingopitch.coordination.ownership.OwnershipMap;
import org.flamingopitch.daemon.entry.MessagePackPeerCodec;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.message.RackLoad;
import org.flamingopitch.scheduler.message.TaskState;
import org.flamingopitch.scheduler.message.TaskStatus;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.TaskId;
import org.flamingopitch.scheduler.node.CallerRequest;
import org.flamingopitch.scheduler.node.ShardStatus;

/** Measures how one core's state, processor time, messages and bytes grow with each size. */
public final class CapacityBench implements Bench {

    private static final int SHARDS = 4;

    private static final int[] WORKERS = {45, 100, 370, 1_000};

    private static final int[] TASKS = {1_000, 4_000, 8_000};

    private static final int REQUESTS = 20_000;

    private static final double NANOS_PER_MICRO = 1e3;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

    @Override
    public void run(CommandLine line) {
        measureWorkers(WORKERS[0], false);
        for (int workers : WORKERS) {
            measureWorkers(workers, true);
        }
        for (int tasks : TASKS) {
            measureTasks(tasks);
        }
        measureHolds();
        measureMessages();
        measureDocuments();
    }

    private void measureWorkers(int workers, boolean print) {
        long heapBefore = usedHeap();
        NodeDriver driver = driver(workers);
        long heap = usedHeap() - heapBefore;
        long callsBefore = driver.workerCalls();
        long idleNanos = cpu(() -> driver.advance(Duration.ofSeconds(20)));
        long calls = driver.workerCalls() - callsBefore;
        sendRequests(driver);
        long requestNanos = cpu(() -> sendRequests(driver));
        if (print) {
            System.out.printf(
                    Locale.ROOT,
                    "%d workers: %.0f bytes of state a worker, idle %.2f%% of a core, %.1f reports/s,"
                            + " %.2f us a request%n",
                    workers,
                    heap / (double) workers,
                    100 * idleNanos / (20 * NANOS_PER_SECOND),
                    calls / 20.0,
                    requestNanos / (REQUESTS * NANOS_PER_MICRO));
        }
    }

    private static void sendRequests(NodeDriver driver) {
        long answersBefore = driver.answers();
        CallerRequest request =
                new CallerRequest.Run(new KindName("price-check"), null, Payload.ofText("{\"item\":1}"));
        for (int i = 0; i < REQUESTS; i++) {
            driver.ask(request);
            if (i % 16 == 0) {
                driver.advance(Duration.ofMillis(10));
            }
        }
        long answered = driver.answers() - answersBefore;
        if (answered < REQUESTS) {
            throw new IllegalStateException("only " + answered + " answers");
        }
    }

    private void measureTasks(int tasks) {
        NodeDriver driver = driver(370);
        long heapBefore = usedHeap();
        long startNanos = cpu(() -> startTasks(driver, tasks));
        long heap = usedHeap() - heapBefore;
        long open = driver.node().status().shards().stream()
                .mapToLong(ShardStatus::openJobs)
                .sum();
        long reportedBefore = driver.reportedTasks();
        long idleNanos = cpu(() -> driver.advance(Duration.ofSeconds(10)));
        System.out.printf(
                Locale.ROOT,
                "%d tasks on 370 workers (%d open): %.0f bytes of state a task, %.1f us to start one,"
                        + " then %.2f%% of a core, %.0f tasks reported/s%n",
                tasks,
                open,
                heap / (double) tasks,
                startNanos / (tasks * NANOS_PER_MICRO),
                100 * idleNanos / (10 * NANOS_PER_SECOND),
                (driver.reportedTasks() - reportedBefore) / 10.0);
    }

    private static void startTasks(NodeDriver driver, int tasks) {
        for (int i = 0; i < tasks; i++) {
            IdempotencyKey key = new IdempotencyKey("job-" + i);
            driver.ask(new CallerRequest.Job(
                    new JobCommand.Submit(key, new KindName("render"), Payload.ofText("{\"page\":" + i + "}"))));
            if (i % 50 == 0) {
                driver.advance(Duration.ofMillis(50));
            }
        }
        driver.advance(Duration.ofSeconds(5));
    }

    private void measureHolds() {
        for (int perCommit : new int[] {1, 10, 50}) {
            NodeDriver driver = driver(45);
            long writesBefore = driver.store().model().counts().writes();
            long bytesBefore = driver.store().model().counts().bytesWritten();
            int holds = 2_000;
            for (int i = 0; i < holds; i++) {
                IdempotencyKey key = new IdempotencyKey("hold-" + i);
                driver.ask(new CallerRequest.Run(new KindName("hold"), key, Payload.ofText("{\"room\":" + i + "}")));
                if (i % perCommit == 0) {
                    driver.advance(Duration.ofMillis(100));
                }
            }
            driver.advance(Duration.ofSeconds(1));
            System.out.printf(
                    Locale.ROOT,
                    "%d holds/s on one process: %.2f journal writes a hold, %.0f characters a hold%n",
                    perCommit * 10,
                    (driver.store().model().counts().writes() - writesBefore) / (double) holds,
                    (driver.store().model().counts().bytesWritten() - bytesBefore) / (double) holds);
        }
    }

    private static void measureMessages() {
        MessagePackPeerCodec codec = new MessagePackPeerCodec();
        for (int racks : new int[] {1, 10, 40}) {
            List<RackLoad> loads = new ArrayList<>();
            for (int i = 0; i < racks; i++) {
                loads.add(new RackLoad(new PartitionId("centre-12/rack-" + i), 300, 200));
            }
            System.out.printf(
                    Locale.ROOT,
                    "free room of %d racks: %d bytes a message%n",
                    racks,
                    codec.encode(new PeerMessage.TellLoad(123_456, loads)).length);
        }
        TaskId task = new TaskId(new IdempotencyKey("fp1-01a23f480295-801b48a426bfe1f9"), 1);
        PartitionId rack = new PartitionId("centre-12/rack-7");
        Payload payload = Payload.ofText("{\"item\":\"chair\",\"finish\":\"lacquer\"}");
        print("request", codec.encode(new PeerMessage.Execute(1, rack, new KindName("price-check"), payload, 2_000)));
        print("answer", codec.encode(new PeerMessage.Executed(1, new Outcome.Done(payload))));
        print(
                "start of a task",
                codec.encode(
                        new PeerMessage.StartTask(rack, task, new KindName("render"), payload, "done-millis=120000")));
        print("question about a task", codec.encode(new PeerMessage.QueryTasks(rack, List.of(task))));
        print(
                "state of a task",
                codec.encode(
                        new PeerMessage.TellTasks(rack, List.of(TaskStatus.of(task, TaskState.RUNNING, "worker-77")))));
    }

    private static void print(String title, byte[] bytes) {
        System.out.printf(Locale.ROOT, "%s between entry hosts: %d bytes%n", title, bytes.length);
    }

    private void measureDocuments() {
        for (int workers : new int[] {45, 370, 1_000, 10_000}) {
            String document = JsonCodec.json().encode(Sizes.configuration(workers, SHARDS));
            long[] best = {Long.MAX_VALUE};
            for (int i = 0; i < 5; i++) {
                long nanos = cpu(
                        () -> JsonCodec.json().decode(document, org.flamingopitch.scheduler.model.Configuration.class));
                best[0] = Math.min(best[0], nanos);
            }
            System.out.printf(
                    Locale.ROOT,
                    "configuration of %d workers: %d bytes, %.1f ms to read%n",
                    workers,
                    document.getBytes(StandardCharsets.UTF_8).length,
                    best[0] / 1e6);
        }
        List<OwnershipEntry> entries = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            entries.add(new OwnershipEntry(
                    new PartitionId("centre-12/rack-" + i),
                    new ProcessId("entry-1.587b8c4453a91d57"),
                    "10.1.2.3:7000",
                    9));
        }
        int bytes =
                JsonCodec.json().encode(new OwnershipMap("entry-1/9", entries)).length();
        System.out.printf(Locale.ROOT, "ownership map of 50 racks: %d bytes%n", bytes);
    }

    private static NodeDriver driver(int workers) {
        NodeDriver driver = new NodeDriver(Sizes.configuration(workers, SHARDS), Sizes.CENTRE, Sizes.REGION);
        driver.advance(Duration.ofSeconds(6));
        return driver;
    }

    private long cpu(Runnable work) {
        long before = threads.getCurrentThreadCpuTime();
        work.run();
        return threads.getCurrentThreadCpuTime() - before;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
