package org.flamingopitch.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Benchmark;
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

/**
 * Measures how the memory, processor time, store writes and message sizes of one scheduler node grow with the number of
 * workers, tasks, racks and requests.
 */
public final class CapacityBenchmark implements Benchmark {

    private static final int SHARD_COUNT = 4;

    private static final int[] WORKER_COUNTS = {45, 100, 370, 1_000};

    private static final int[] TASK_COUNTS = {1_000, 4_000, 8_000};

    private static final int REQUEST_COUNT = 20_000;

    private static final double NANOS_PER_MICRO = 1e3;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();

    @Override
    public void run(CommandLine commandLine) {
        // Warm-up run.
        measureWorkers(WORKER_COUNTS[0], false);
        for (int workers : WORKER_COUNTS) {
            measureWorkers(workers, true);
        }
        for (int tasks : TASK_COUNTS) {
            measureTasks(tasks);
        }
        measureKeyedRequests();
        printMessageSizes();
        measureDocumentSizes();
    }

    private void measureWorkers(int workers, boolean printResult) {
        long heapBefore = usedHeap();
        NodeDriver driver = startDriver(workers);
        long heap = usedHeap() - heapBefore;
        long callsBefore = driver.workerCallCount();
        long idleNanos = measureCpuNanos(() -> driver.advance(Duration.ofSeconds(20)));
        long calls = driver.workerCallCount() - callsBefore;
        sendRequests(driver);
        long requestNanos = measureCpuNanos(() -> sendRequests(driver));
        if (printResult) {
            System.out.printf(
                    Locale.ROOT,
                    "%d workers: %.0f bytes of heap per worker, idle load %.2f%% of a processor core,"
                            + " %.1f worker calls/s, %.2f us of processor time per request%n",
                    workers,
                    heap / (double) workers,
                    100 * idleNanos / (20 * NANOS_PER_SECOND),
                    calls / 20.0,
                    requestNanos / (REQUEST_COUNT * NANOS_PER_MICRO));
        }
    }

    private static void sendRequests(NodeDriver driver) {
        long answersBefore = driver.answerCount();
        CallerRequest request =
                new CallerRequest.Run(new KindName("price-check"), null, Payload.ofText("{\"item\":1}"));
        for (int i = 0; i < REQUEST_COUNT; i++) {
            driver.sendRequest(request);
            if (i % 16 == 0) {
                driver.advance(Duration.ofMillis(10));
            }
        }
        long answered = driver.answerCount() - answersBefore;
        if (answered < REQUEST_COUNT) {
            throw new IllegalStateException("the node answered only " + answered + " requests");
        }
    }

    private void measureTasks(int tasks) {
        NodeDriver driver = startDriver(370);
        long heapBefore = usedHeap();
        long startNanos = measureCpuNanos(() -> startTasks(driver, tasks));
        long heap = usedHeap() - heapBefore;
        long open = driver.node().status().shards().stream()
                .mapToLong(ShardStatus::openJobs)
                .sum();
        long reportedBefore = driver.reportedTaskCount();
        long idleNanos = measureCpuNanos(() -> driver.advance(Duration.ofSeconds(10)));
        System.out.printf(
                Locale.ROOT,
                "%d tasks on 370 workers (%d open jobs): %.0f bytes of heap per task,"
                        + " %.1f us of processor time per start,"
                        + " then %.2f%% of a processor core, %.0f task reports/s%n",
                tasks,
                open,
                heap / (double) tasks,
                startNanos / (tasks * NANOS_PER_MICRO),
                100 * idleNanos / (10 * NANOS_PER_SECOND),
                (driver.reportedTaskCount() - reportedBefore) / 10.0);
    }

    private static void startTasks(NodeDriver driver, int tasks) {
        for (int i = 0; i < tasks; i++) {
            IdempotencyKey key = new IdempotencyKey("job-" + i);
            driver.sendRequest(new CallerRequest.Job(
                    new JobCommand.Submit(key, new KindName("render"), Payload.ofText("{\"page\":" + i + "}"))));
            if (i % 50 == 0) {
                driver.advance(Duration.ofMillis(50));
            }
        }
        driver.advance(Duration.ofSeconds(5));
    }

    private void measureKeyedRequests() {
        for (int requestsPerCommit : new int[] {1, 10, 50}) {
            NodeDriver driver = startDriver(45);
            long writesBefore = driver.store().model().counts().writes();
            long bytesBefore = driver.store().model().counts().bytesWritten();
            int requestCount = 2_000;
            for (int i = 0; i < requestCount; i++) {
                IdempotencyKey key = new IdempotencyKey("hold-" + i);
                driver.sendRequest(
                        new CallerRequest.Run(new KindName("hold"), key, Payload.ofText("{\"room\":" + i + "}")));
                if (i % requestsPerCommit == 0) {
                    driver.advance(Duration.ofMillis(100));
                }
            }
            driver.advance(Duration.ofSeconds(1));
            System.out.printf(
                    Locale.ROOT,
                    "%d requests/s with an idempotency key on one process:"
                            + " %.2f journal writes and %.0f characters per request%n",
                    requestsPerCommit * 10,
                    (driver.store().model().counts().writes() - writesBefore) / (double) requestCount,
                    (driver.store().model().counts().bytesWritten() - bytesBefore) / (double) requestCount);
        }
    }

    private static void printMessageSizes() {
        MessagePackPeerCodec codec = new MessagePackPeerCodec();
        for (int racks : new int[] {1, 10, 40}) {
            List<RackLoad> loads = new ArrayList<>();
            for (int i = 0; i < racks; i++) {
                loads.add(new RackLoad(new PartitionId("centre-12/rack-" + i), 300, 200));
            }
            System.out.printf(
                    Locale.ROOT,
                    "free capacity of %d racks: %d bytes per message%n",
                    racks,
                    codec.encode(new PeerMessage.TellLoad(123_456, loads)).length);
        }
        TaskId task = new TaskId(new IdempotencyKey("fp1-01a23f480295-801b48a426bfe1f9"), 1);
        PartitionId rack = new PartitionId("centre-12/rack-7");
        Payload payload = Payload.ofText("{\"item\":\"chair\",\"finish\":\"lacquer\"}");
        printSize(
                "request message",
                codec.encode(new PeerMessage.Execute(1, rack, new KindName("price-check"), payload, 2_000)));
        printSize("answer message", codec.encode(new PeerMessage.Executed(1, new Outcome.Done(payload))));
        printSize(
                "task start message",
                codec.encode(
                        new PeerMessage.StartTask(rack, task, new KindName("render"), payload, "done-millis=120000")));
        printSize("task query message", codec.encode(new PeerMessage.QueryTasks(rack, List.of(task))));
        printSize(
                "task state message",
                codec.encode(
                        new PeerMessage.TellTasks(rack, List.of(TaskStatus.of(task, TaskState.RUNNING, "worker-77")))));
    }

    private static void printSize(String title, byte[] bytes) {
        System.out.printf(Locale.ROOT, "%s between entry hosts: %d bytes%n", title, bytes.length);
    }

    private void measureDocumentSizes() {
        for (int workers : new int[] {45, 370, 1_000, 10_000}) {
            String document = JsonCodec.json().encode(SyntheticConfigurations.create(workers, SHARD_COUNT));
            long[] bestNanos = {Long.MAX_VALUE};
            for (int i = 0; i < 5; i++) {
                long nanos = measureCpuNanos(
                        () -> JsonCodec.json().decode(document, org.flamingopitch.scheduler.model.Configuration.class));
                bestNanos[0] = Math.min(bestNanos[0], nanos);
            }
            System.out.printf(
                    Locale.ROOT,
                    "configuration of %d workers: %d bytes, %.1f ms to decode%n",
                    workers,
                    document.getBytes(StandardCharsets.UTF_8).length,
                    bestNanos[0] / 1e6);
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

    private static NodeDriver startDriver(int workers) {
        NodeDriver driver = new NodeDriver(
                SyntheticConfigurations.create(workers, SHARD_COUNT),
                SyntheticConfigurations.DATA_CENTRE,
                SyntheticConfigurations.REGION);
        driver.advance(Duration.ofSeconds(6));
        return driver;
    }

    private long measureCpuNanos(Runnable action) {
        long before = threadBean.getCurrentThreadCpuTime();
        action.run();
        return threadBean.getCurrentThreadCpuTime() - before;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
