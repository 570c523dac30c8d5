package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/** Creates jobs, workers and runs for unit tests of the cell's owner. */
final class OwnerFixtures {

    static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private OwnerFixtures() {}

    static QueueSpec queue() {
        return new QueueSpec(
                new QueueName("q"), "callers.example", "/q/", new ServiceName("pool"), 0, 3, 2, 1_000, 3_000, false);
    }

    static StepSpec bestEffortStep(String image, int count, long milliCores, long estimateMillis) {
        return step(image, count, milliCores, estimateMillis, true, 0);
    }

    static StepSpec latencyCriticalStep(String image, long milliCores, double targetMillis) {
        return step(image, 1, milliCores, 0, false, targetMillis);
    }

    /** Creates a step of one short task that permits copies. */
    static StepSpec speculativeStep() {
        return copyStep(true, false, false);
    }

    static StepSpec copyStep(boolean speculative, boolean longRunning, boolean bestEffort) {
        return new StepSpecBuilder()
                .demand(new Resources(1_000, 10, 0))
                .estimateMillis(1_000)
                .checkpointing(true)
                .speculative(speculative)
                .lasting(longRunning)
                .image("i")
                .fills(bestEffort)
                .build();
    }

    private static StepSpec step(
            String image, int count, long milliCores, long estimateMillis, boolean bestEffort, double targetMillis) {
        return new StepSpecBuilder()
                .count(count)
                .demand(new Resources(milliCores, 10, 0))
                .estimateMillis(estimateMillis)
                .checkpointing(true)
                .lasting(!bestEffort)
                .image(image)
                .targetMillis(targetMillis)
                .fills(bestEffort)
                .build();
    }

    /** Creates a step of short tasks that prefer a rack, or that run on one rack if they are a group. */
    static StepSpec rackStep(int count, long milliCores, long estimateMillis, String preferredRack, boolean group) {
        return new StepSpecBuilder()
                .count(count)
                .demand(new Resources(milliCores, 10, 0))
                .estimateMillis(estimateMillis)
                .sameRack(group)
                .preferredRack(preferredRack)
                .build();
    }

    static Job job(String id, StepSpec step, Instant submittedAt) {
        JobSpec spec = new JobSpec("work", List.of(step), 0, 0, 0);
        return new Job(new JobId(id), queue(), spec, submittedAt, submittedAt.toEpochMilli());
    }

    static WorkerState worker(String name, long milliCores) {
        return worker(name, milliCores, "r1");
    }

    static WorkerState worker(String name, long milliCores, String rack) {
        WorkerState worker = new WorkerState(new WorkerId(name), NOW);
        worker.register(entry(name, 1, milliCores, rack), NOW);
        worker.recordReport(1, 0, Duration.ofSeconds(6), NOW);
        return worker;
    }

    static WorkerEntry entry(String name, long incarnation, long milliCores, String rack) {
        return new WorkerEntry(
                new WorkerId(name),
                incarnation,
                "127.0.0.1:1",
                new ServiceName("pool"),
                "dc",
                false,
                0,
                0,
                new Resources(milliCores, 100_000, 0),
                Set.of("a", rack));
    }

    /** Starts a run of the task on a worker, 30 s before {@link #NOW}, and reports its measurement at full speed. */
    static Run run(Task task, WorkerState worker, double measurement) {
        Run run = task.place(worker, NOW.minusSeconds(30));
        worker.add(run);
        run.enterPhase(RunPhase.RUNNING, NOW);
        run.setOrderOutcomeKnown(NOW);
        run.observe(100, measurement, NOW);
        return run;
    }

    static Task task(Job job) {
        return job.step(0, 0).tasks().get(0);
    }
}
