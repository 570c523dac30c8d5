package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a long-running task that waits is started once a worker has capacity for it. */
final class WaitingLongRunningTaskTest {

    /** The platform counts a long-running task as lost after this time with capacity for it. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);

    /** After a disruption the platform counts only from this time on. */
    private static final Duration CALM_AFTER_DISRUPTION = Duration.ofSeconds(4);

    /** The platform counts a long-running task from 6 s after its last run. */
    private static final Duration MAX_WAIT_AFTER_LAST_RUN =
            Duration.ofSeconds(6).plus(MAX_WAIT);

    private static final int FAULTY_JOBS = 6;

    private static final Duration FAILURE_TIME = Duration.ofMillis(600);

    private static final Duration STEP = Duration.ofMillis(20);

    private static final String JOB_ID = "00000000000000cc";

    private static final String OTHER_JOB_ID = "00000000000000bb";

    private final CellSession session = new CellSession();

    @BeforeEach
    void startHostAndWorkers() {
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
    }

    private void submit(String job, JobSpec spec) {
        session.call("h1", new CallerOperation.Submit(spec), "/q/" + job);
    }

    private FakeWorker runAloneOnOneWorker(String job) {
        submit(job, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofMillis(500));
        assertThat(session.running(job)).hasSize(1);
        return session.worker(session.worker("w1").running().isEmpty() ? "w1" : "w2");
    }

    private void endTasks(String job, EndKind kind) {
        for (String name : List.of("w1", "w2")) {
            FakeWorker worker = session.worker(name);
            worker.running().stream()
                    .filter(task -> task.job().value().equals(job))
                    .forEach(task -> worker.end(task, kind));
        }
    }

    @Test
    void taskStartsWhenTheQuarantineOfTheOnlyWorkerWithCapacityEnds() {
        FakeWorker free = runAloneOnOneWorker(OTHER_JOB_ID);
        free.setStartsLost(true);
        submit(JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofMillis(2_500));
        free.setStartsLost(false);
        session.advance(MAX_WAIT);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void taskStartsWhenTheEntryOfTheOnlyWorkerWithCapacityIsBack() {
        FakeWorker free = runAloneOnOneWorker(OTHER_JOB_ID);
        free.setListed(false);
        session.advance(Duration.ofSeconds(5));
        submit(JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofSeconds(1));
        assertThat(session.running(JOB_ID)).isEmpty();
        free.setListed(true);
        session.advance(MAX_WAIT);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void quarantinesThatGrewDuringAFaultDoNotDelayATaskAfterIt() {
        session.worker("w1").setStartsLost(true);
        session.worker("w2").setStartsLost(true);
        submit(JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofSeconds(30));
        assertThat(session.running(JOB_ID)).isEmpty();
        session.worker("w1").setStartsLost(false);
        session.worker("w2").setStartsLost(false);
        session.advance(CALM_AFTER_DISRUPTION.plus(MAX_WAIT));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void taskOverItsLimitPerWorkerDoesNotHideTasksOfAnotherStep() {
        submit(JOB_ID, new JobSpec("work", List.of(limitedStep(3, 500)), 0, 0, 0));
        submit(OTHER_JOB_ID, new JobSpec("work", List.of(limitedStep(1, 2_000)), 0, 0, 0));
        session.advance(Duration.ofSeconds(15));
        assertThat(session.running(JOB_ID)).hasSize(2);
        assertThat(session.running(OTHER_JOB_ID)).hasSize(1);
        endTasks(OTHER_JOB_ID, EndKind.FAILED);
        session.advance(MAX_WAIT);
        assertThat(session.running(OTHER_JOB_ID)).hasSize(1);
    }

    @Test
    void taskWithAReservationIsPlacedThoughAnotherOneOfItsKindIsNot() {
        session.addWorker("large", 8_000);
        submit("00000000000000dd", CellSession.job(2, 3_000, true));
        session.advance(Duration.ofSeconds(2));
        submit("00000000000000ee", CellSession.job(10, 1_000, false));
        session.advance(Duration.ofMillis(500));
        submit(JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofMillis(100));
        submit(OTHER_JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofMillis(100));
        FakeWorker large = session.worker("large");
        assertThat(large.running()).hasSize(8);
        large.running().forEach(task -> large.end(task, EndKind.DONE));
        session.advance(MAX_WAIT);
        assertThat(session.running(JOB_ID)).hasSize(1);
        assertThat(session.running(OTHER_JOB_ID)).hasSize(1);
    }

    @Test
    void taskStartsWhenTheOnlyWorkerWithCapacityAnswersAgain() {
        submit(OTHER_JOB_ID, CellSession.job(1, 3_000, true));
        submit("00000000000000dd", CellSession.job(1, 1_500, true));
        session.advance(Duration.ofMillis(500));
        FakeWorker silent = session.worker(
                session.worker("w1").running().stream()
                                .anyMatch(task -> task.job().value().equals(OTHER_JOB_ID))
                        ? "w2"
                        : "w1");
        silent.setUnresponsive(true);
        session.advance(Duration.ofMillis(1_500));
        submit(JOB_ID, CellSession.job(1, 2_000, true));
        session.advance(Duration.ofMillis(500));
        assertThat(session.running(JOB_ID)).isEmpty();
        silent.setUnresponsive(false);
        session.advance(MAX_WAIT);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void smallTaskStartsThoughManyLargerOnesWait() {
        for (int i = 3; i <= 20; i++) {
            session.addWorker("w" + i, 4_000);
        }
        session.advance(Duration.ofSeconds(2));
        submit("00000000000000dd", CellSession.job(20, 2_400, true));
        session.advance(Duration.ofMillis(300));
        for (int i = 0; i < 6; i++) {
            submit("00000000000000a" + i, CellSession.job(1, 1_700, true));
        }
        session.advance(Duration.ofMillis(300));
        submit(JOB_ID, CellSession.job(4, 1_000, true));
        session.advance(MAX_WAIT);
        assertThat(session.running(JOB_ID)).hasSize(4);
    }

    @Test
    void workerThatLeavesStopsUnansweredDoesNotKeepATaskWaiting() {
        submit(OTHER_JOB_ID, CellSession.job(8, 1_000, false));
        session.advance(Duration.ofMillis(300));
        session.worker("w1").setStopsLost(true);
        submit(JOB_ID, CellSession.job(1, 3_000, true));
        session.advance(Duration.ofMillis(8_300));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void waitingBestEffortTaskDoesNotReserveAWorkerThatHasTheCapacityItReserves() {
        runAloneOnOneWorker(OTHER_JOB_ID);
        session.removeWorker(session.worker("w1").running().isEmpty() ? "w1" : "w2");
        session.advance(Duration.ofSeconds(4));
        StepSpec plain = SampleSteps.step(1, 4_000, true, List.of());
        StepSpec bestEffort = new StepSpecBuilder()
                .demand(plain.demand())
                .estimateMillis(plain.estimateMillis())
                .checkpointing(true)
                .lasting(true)
                .fills(true)
                .build();
        submit("00000000000000dd", new JobSpec("work", List.of(bestEffort), 0, 0, 0));
        session.advance(Duration.ofSeconds(1));
        submit(JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(MAX_WAIT);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void shortTaskOnAnIdleServiceStartsInTimeAfterAFault() {
        session.worker("w1").setStartsLost(true);
        session.worker("w2").setStartsLost(true);
        submit(JOB_ID, CellSession.job(1, 1_000, false));
        session.advance(Duration.ofSeconds(16));
        session.worker("w1").setStartsLost(false);
        session.worker("w2").setStartsLost(false);
        session.advance(CALM_AFTER_DISRUPTION.plus(MAX_WAIT));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /**
     * Each worker is in quarantine because of jobs that fail everywhere. Short tasks are started there as a last resort;
     * each one that failed closed the worker to long-running tasks for another 3 s.
     */
    @Test
    void lastResortTasksThatFailDoNotKeepALongRunningTaskWaiting() {
        session.configure(new CellConfiguration(2, List.of(queueWithManyAttempts()), 100_000));
        for (int i = 0; i < FAULTY_JOBS; i++) {
            submit("00000000000000f" + i, new JobSpec("work", List.of(thirdOfAWorker()), 0, 0, 0));
        }
        advanceWithFailures(Duration.ofSeconds(1));
        submit(JOB_ID, CellSession.job(1, 1_000, true));
        session.advance(Duration.ofMillis(100));
        assertThat(session.running(JOB_ID)).as("both workers are in quarantine").isEmpty();
        advanceWithFailures(MAX_WAIT_AFTER_LAST_RUN);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /** Lets all tasks of the faulty jobs fail 600 ms after their start. */
    private void advanceWithFailures(Duration time) {
        Map<TaskRef, Duration> runningFor = new HashMap<>();
        for (Duration left = time; left.compareTo(Duration.ZERO) > 0; left = left.minus(STEP)) {
            session.advance(STEP);
            for (String name : List.of("w1", "w2")) {
                FakeWorker worker = session.worker(name);
                for (TaskRef task : worker.running()) {
                    boolean faulty = task.job().value().startsWith("00000000000000f");
                    if (faulty && runningFor.merge(task, STEP, Duration::plus).compareTo(FAILURE_TIME) >= 0) {
                        runningFor.remove(task);
                        worker.end(task, EndKind.FAILED);
                    }
                }
            }
        }
    }

    /** Creates a step of one task, of which memory for three is on each worker. */
    private static StepSpec thirdOfAWorker() {
        return new StepSpecBuilder()
                .demand(new Resources(500, 33_000, 0))
                .estimateMillis(1_000)
                .build();
    }

    private static QueueSpec queueWithManyAttempts() {
        return new QueueSpec(
                new QueueName("q"), "callers.example", "/q/", new ServiceName("pool"), 0, 20, 2, 1_000, 3_000, false);
    }

    private static StepSpec limitedStep(int count, long milliCores) {
        StepSpec plain = SampleSteps.step(count, milliCores, true, List.of());
        return new StepSpecBuilder()
                .count(count)
                .demand(plain.demand())
                .estimateMillis(plain.estimateMillis())
                .checkpointing(true)
                .maxPerWorker(1)
                .lasting(true)
                .build();
    }
}
