package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Waits for a rack in a cell with free capacity: a job with nothing at work must not wait longer than the platform
 * permits. Tasks of 6 s take three times as long outside their rack, so that a wait of 4 s pays.
 */
final class IdleRackWaitTest {

    private static final String NEAR_RACK = "r1";

    private static final String FAR_RACK = "r2";

    private static final String FIRST = "00000000000000a1";

    private static final String SECOND = "00000000000000a2";

    private static final long TASK_MILLIS = 6_000;

    /** What the first task has left when the second one comes. */
    private static final Duration LEFT = Duration.ofSeconds(4);

    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(3);

    private final CellSession session = new CellSession();

    private FakeWorker near;

    @BeforeEach
    void startHostAndWorkers() {
        session.setFarFactor(3);
        near = addWorker("near", 1_000, NEAR_RACK);
        addWorker("far1", 8_000, FAR_RACK);
        addWorker("far2", 8_000, FAR_RACK);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
    }

    private FakeWorker addWorker(String name, long milliCores, String rack) {
        FakeWorker worker = session.addWorker(name, milliCores);
        worker.setRack(rack);
        worker.setDurations((task, run) -> TASK_MILLIS);
        return worker;
    }

    private void submit(String job, StepSpec step) {
        session.call("h1", new CallerOperation.Submit(new JobSpec("work", List.of(step), 0, 0, 0)), "/q/" + job);
    }

    private static long runs(FakeWorker worker, String job) {
        return worker.running().stream()
                .filter(task -> task.job().value().equals(job))
                .count();
    }

    private static StepSpec nearTask() {
        return nearTasks(1);
    }

    private static StepSpec nearTasks(int count) {
        return new StepSpecBuilder()
                .count(count)
                .demand(new Resources(1_000, 100, 0))
                .estimateMillis(TASK_MILLIS)
                .preferredRack(NEAR_RACK)
                .build();
    }

    private void fillRackAndSubmitSecond() {
        submit(FIRST, nearTask());
        session.advance(Duration.ofMillis(TASK_MILLIS).minus(LEFT));
        assertThat(near.running()).hasSize(1);
        submit(SECOND, nearTask());
    }

    @Test
    void idleJobDoesNotWaitLongerThanThePlatformPermits() {
        fillRackAndSubmitSecond();
        session.advance(MAX_IDLE_TIME);
        assertThat(session.running(SECOND)).hasSize(1);
    }

    /** One task at work is enough; a job of several tasks must not be placed far as a whole. */
    @Test
    void otherTasksOfAnIdleJobWaitForTheRack() {
        FakeWorker second = addWorker("near2", 2_000, NEAR_RACK);
        session.advance(Duration.ofSeconds(2));
        submit(FIRST, nearTasks(3));
        session.advance(Duration.ofMillis(TASK_MILLIS).minus(LEFT));
        assertThat(session.running(FIRST)).hasSize(3);
        submit(SECOND, nearTasks(3));
        session.advance(MAX_IDLE_TIME);
        assertThat(session.running(SECOND)).hasSize(1);
        session.advance(Duration.ofMillis(1_700));
        assertThat(runs(near, SECOND) + runs(second, SECOND)).isEqualTo(2);
    }

    /** Where most capacity is in use, the platform does not expect a start, and a wait that pays is worth more. */
    @Test
    void jobWaitsInALoadedCell() {
        submit("00000000000000dd", SampleSteps.step(2, 5_000, true, List.of()));
        session.advance(Duration.ofMillis(200));
        assertThat(session.running("00000000000000dd")).hasSize(2);
        fillRackAndSubmitSecond();
        session.advance(MAX_IDLE_TIME);
        assertThat(session.running(SECOND)).isEmpty();
        session.advance(Duration.ofMillis(1_700));
        assertThat(runs(near, SECOND)).isEqualTo(1);
    }
}
