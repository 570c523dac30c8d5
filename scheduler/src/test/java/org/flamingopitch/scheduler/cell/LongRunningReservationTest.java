package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Tests that reservations for long-running tasks do not keep a best-effort job off all workers that permit it: they are
 * made one after the other on each of these workers while short tasks are preempted. The preemptions leave the
 * best-effort task alone, as it holds none of the processor time that they are for.
 */
final class LongRunningReservationTest {

    private static final int WORKERS = 8;

    private static final int PERMITTED_WORKERS = 2;

    private static final int LONG_RUNNING_JOBS = 8;

    private static final String SPECIAL = "special";

    /** The platform expects a job with capacity for it to have a task at work after this time. */
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(3);

    private static final Duration STEP = Duration.ofMillis(20);

    private static final String BEST_EFFORT_JOB = "00000000000000ee";

    private final CellSession session = new CellSession();

    private void submit(String job, StepSpecBuilder builder) {
        StepSpec step = builder.estimateMillis(60_000).requiredLabel(SPECIAL).build();
        session.call("h1", new CallerOperation.Submit(new JobSpec("work", List.of(step), 0, 0, 0)), "/q/" + job);
    }

    private static String longRunningJob(int number) {
        return "%016x".formatted(0xb0 + number);
    }

    private long startsOfBestEffortJob() {
        long starts = 0;
        for (int i = 0; i < WORKERS; i++) {
            starts += session.worker("w" + i).started().stream()
                    .filter(start -> start.startsWith(BEST_EFFORT_JOB))
                    .count();
        }
        return starts;
    }

    @Test
    void bestEffortJobIsStartedInTimeWhileLongRunningTasksGetTheirRoom() {
        for (int i = 0; i < WORKERS; i++) {
            FakeWorker worker = session.addWorker("w" + i, 16_000);
            worker.setReportedPercent(50);
            if (i < PERMITTED_WORKERS) {
                worker.setRack(SPECIAL);
            }
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        submit("00000000000000aa", new StepSpecBuilder().count(16).demand(new Resources(2_000, 100, 0)));
        session.advance(Duration.ofSeconds(3));
        for (int i = 0; i < LONG_RUNNING_JOBS; i++) {
            // Neither shape needs less of everything than the other, so that one worker is reserved for each.
            Resources demand = i % 2 == 0 ? new Resources(4_000, 100, 0) : new Resources(2_000, 20_000, 0);
            submit(
                    "%016x".formatted(0xb0 + i),
                    new StepSpecBuilder().demand(demand).lasting(true));
        }
        session.advance(Duration.ofMillis(100));
        submit(
                BEST_EFFORT_JOB,
                new StepSpecBuilder()
                        .demand(new Resources(500, 100, 0))
                        .image("i")
                        .fills(true));
        Duration time = Duration.ZERO;
        while (session.running(BEST_EFFORT_JOB).isEmpty() && time.toSeconds() < 20) {
            session.advance(STEP);
            time = time.plus(STEP);
        }
        assertThat(time).isLessThan(MAX_IDLE_TIME);
        session.advance(Duration.ofSeconds(6));
        assertThat(startsOfBestEffortJob()).isEqualTo(1);
        assertThat(session.running(BEST_EFFORT_JOB)).hasSize(1);
        for (int i = 0; i < LONG_RUNNING_JOBS; i++) {
            assertThat(session.running(longRunningJob(i))).hasSize(1);
        }
    }
}
