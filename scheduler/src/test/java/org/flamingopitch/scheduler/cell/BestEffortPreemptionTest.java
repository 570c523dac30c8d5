package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Urgent tasks while best-effort tasks hold the memory of all workers. */
final class BestEffortPreemptionTest {

    private static final String BATCH_JOB = "00000000000000bb";

    private static final String URGENT_JOB = "00000000000000aa";

    /** The longest time of a stop in {@link CellSession}, and the margin after which it counts as unanswered. */
    private static final Duration RESERVATION_DURATION = Duration.ofSeconds(2);

    private final CellSession session = new CellSession();

    @BeforeEach
    void start() {
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        session.addHost("h1");
        session.configure(new CellConfiguration(
                2,
                List.of(
                        SampleQueues.queue("urgent", 0),
                        SampleQueues.queue("normal", 1),
                        SampleQueues.queue("batch", 2)),
                100_000));
        session.advance(Duration.ofSeconds(3));
    }

    private static JobSpec job(int count, long milliCores, long memory, long estimateMillis, boolean bestEffort) {
        StepSpec step = new StepSpecBuilder()
                .count(count)
                .demand(new Resources(milliCores, memory, 0))
                .estimateMillis(estimateMillis)
                .fills(bestEffort)
                .build();
        return new JobSpec("work", List.of(step), 0, 0, 0);
    }

    private void submit(String queue, String job, JobSpec spec) {
        session.call("h1", new CallerOperation.Submit(spec), "/" + queue + "/" + job);
    }

    /** Fills the memory of both workers with two best-effort tasks each. */
    private void fillMemory(String queue) {
        submit(queue, BATCH_JOB, job(4, 500, 49_000, 30_000, true));
        session.advance(Duration.ofMillis(300));
        assertThat(session.running(BATCH_JOB)).hasSize(4);
    }

    private void submitUrgentTask() {
        submit("urgent", URGENT_JOB, job(1, 1_000, 20_000, 1_000, false));
    }

    @Test
    void urgentTaskStartsAfterAStopInsteadOfWaitingForBestEffortTasks() {
        fillMemory("batch");
        submitUrgentTask();
        session.advance(Duration.ofMillis(600));
        assertThat(session.running(URGENT_JOB)).hasSize(1);
        assertThat(session.running(BATCH_JOB)).hasSize(3);
    }

    @Test
    void bestEffortTasksWithMoreUnsavedWorkThanTheUrgentTaskAreNotPreempted() {
        fillMemory("batch");
        session.advance(Duration.ofSeconds(4));
        submitUrgentTask();
        session.advance(Duration.ofSeconds(3));
        assertThat(session.running(URGENT_JOB)).isEmpty();
        assertThat(session.running(BATCH_JOB)).hasSize(4);
    }

    @Test
    void tasksOfTheSamePriorityAreNotPreempted() {
        fillMemory("urgent");
        submitUrgentTask();
        session.advance(Duration.ofSeconds(1));
        assertThat(session.running(URGENT_JOB)).isEmpty();
        assertThat(session.running(BATCH_JOB)).hasSize(4);
    }

    /** Tasks that wait for stops keep others from the free capacity of their workers. */
    @Test
    void atMostATenthOfTheWorkersIsReservedAtATime() {
        fillMemory("batch");
        session.worker("w1").setStopsLost(true);
        submit("urgent", URGENT_JOB, job(4, 1_000, 60_000, 1_000, false));
        session.advance(Duration.ofMillis(900));
        assertThat(session.worker("w2").running()).hasSize(2);
    }

    /** Without the end of the reservation the task would wait for the worker until the lease expires there. */
    @Test
    void taskGetsAnotherWorkerWhenAStopStaysUnanswered() {
        fillMemory("batch");
        session.worker("w1").setStopsLost(true);
        submit("urgent", URGENT_JOB, job(1, 1_000, 20_000, 8_000, false));
        session.advance(RESERVATION_DURATION.plusMillis(1_500));
        assertThat(session.worker("w2").running())
                .anyMatch(task -> task.job().value().equals(URGENT_JOB));
    }

    @Test
    void taskGetsAnotherWorkerWhenTheReservedOneIsLost() {
        fillMemory("batch");
        session.worker("w1").setStopsLost(true);
        submit("urgent", URGENT_JOB, job(1, 1_000, 20_000, 8_000, false));
        session.advance(Duration.ofMillis(400));
        session.worker("w1").setUnresponsive(true);
        session.advance(Duration.ofMillis(2_500));
        assertThat(session.worker("w2").running())
                .anyMatch(task -> task.job().value().equals(URGENT_JOB));
    }

    /** The capacity of a worker must not stay reserved for a task whose caller has cancelled it. */
    @Test
    void reservationForACancelledJobEndsAtOnce() {
        fillMemory("batch");
        session.worker("w1").setStopsLost(true);
        session.worker("w2").setStopsLost(true);
        submitUrgentTask();
        session.advance(Duration.ofMillis(200));
        session.call("h1", new CallerOperation.Cancel(), "/urgent/" + URGENT_JOB);
        submit("normal", "00000000000000cc", job(6, 1_000, 100, 1_000, false));
        session.advance(Duration.ofMillis(200));
        assertThat(session.running("00000000000000cc")).hasSize(6);
    }
}
