package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.Test;

/**
 * Tests that a task that may be started only in isolation is started in a cell in which new tasks are started all the
 * time on each worker, but that has capacity. Without a worker that gets no new tasks it would wait for good.
 */
final class IsolatedTaskTest {

    private static final String SUSPECT_JOB = "00000000000000dd";

    private static final int WORKERS = 4;

    /** A label of the workers that have not crashed. */
    private static final String KIND = "r1";

    /** The task crashes the worker in its first starts only. */
    private static final int DEADLY_STARTS = 2;

    private static final long TASK_MILLIS = 1_500;

    /** After this time each worker has unproven runs. */
    private static final Duration TIME_TO_FILL = Duration.ofMillis(1_500);

    private static final Duration ROUND = Duration.ofMillis(500);

    /** The platform expects a job with capacity for it to have a task at work after this time. */
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(3);

    private final CellSession session = new CellSession();

    private final List<FakeWorker> workers = new ArrayList<>();

    private int submitted;

    private void startCell() {
        for (int i = 0; i < WORKERS; i++) {
            FakeWorker worker = session.addWorker("w" + i, 4_000);
            worker.setDurations((task, run) -> TASK_MILLIS);
            worker.setDeadlyTasks(task -> isSuspect(task) && starts() <= DEADLY_STARTS);
            workers.add(worker);
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
    }

    private static boolean isSuspect(TaskRef task) {
        return task.job().value().equals(SUSPECT_JOB);
    }

    private long starts() {
        return workers.stream()
                .flatMap(worker -> worker.started().stream())
                .filter(start -> start.startsWith(SUSPECT_JOB))
                .count();
    }

    /** Submits in each round a job with one task on each worker; three of them run there at a time. */
    private void advanceUnderLoad(Duration time) {
        for (Duration left = time; left.compareTo(Duration.ZERO) > 0; left = left.minus(ROUND)) {
            StepSpec plain = SampleSteps.step(WORKERS, 500, false, List.of());
            StepSpec spread = new StepSpecBuilder()
                    .count(WORKERS)
                    .demand(plain.demand())
                    .estimateMillis(plain.estimateMillis())
                    .maxPerWorker(1)
                    .build();
            submit("%016x".formatted(1_000 + submitted++), new JobSpec("work", List.of(spread), 0, 0, 0));
            session.advance(ROUND);
        }
    }

    private void submit(String job, JobSpec spec) {
        session.call("h1", new CallerOperation.Submit(spec), "/q/" + job);
    }

    /**
     * The down times are shorter than a lease, so that each end of a run is first known as a crash. The workers come back
     * as ones of another kind, since the task would otherwise start there at once.
     */
    private void crashTwice(Duration downTime) {
        submit(SUSPECT_JOB, new JobSpec("work", List.of(suspectStep()), 0, 0, 0));
        session.advance(downTime);
        restartCrashed();
        session.advance(downTime.minus(TIME_TO_FILL));
        advanceUnderLoad(TIME_TO_FILL);
        assertThat(starts()).isEqualTo(DEADLY_STARTS);
        restartCrashed();
    }

    private static StepSpec suspectStep() {
        StepSpec plain = SampleSteps.step(1, 1_000, false, List.of());
        return new StepSpecBuilder()
                .count(1)
                .demand(plain.demand())
                .estimateMillis(plain.estimateMillis())
                .requiredLabel(KIND)
                .build();
    }

    private void restartCrashed() {
        List<FakeWorker> crashed = workers.stream().filter(FakeWorker::crashed).toList();
        assertThat(crashed).hasSize(1);
        crashed.get(0).setRack("r2");
        crashed.get(0).restart();
    }

    @Test
    void suspectIsStartedInTime() {
        startCell();
        crashTwice(Duration.ofSeconds(2));
        advanceUnderLoad(MAX_IDLE_TIME);
        assertThat(starts()).isEqualTo(DEADLY_STARTS + 1);
    }

    /** The job is over three times its objective late when its second crash becomes known. */
    @Test
    void suspectOfAnExpiredJobIsStartedInTime() {
        startCell();
        crashTwice(Duration.ofMillis(5_000));
        advanceUnderLoad(MAX_IDLE_TIME);
        assertThat(starts()).isEqualTo(DEADLY_STARTS + 1);
    }
}
