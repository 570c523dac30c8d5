package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.Test;

/** The answer to a start, if it comes after a report of the run, must not raise a task that has been paused since. */
final class LateStartAnswerTest {

    private static final String BATCH_JOB = "00000000000000bb";

    /** Shows the latency-critical task at half of its target, as the worker reports 1 ms. */
    private static final double TARGET_MILLIS = 2;

    private static final String LEARNED = "{\"responses\":[{\"serving\":\"service\",\"baseline\":2.0,"
            + "\"costs\":[{\"filling\":\"heavy\",\"slack\":12.0,\"variance\":0.01}]}]}";

    private static final Duration ANSWER_LATENCY = Duration.ofMillis(2_000);

    private static final Duration TICK = Duration.ofMillis(5);

    private final CellSession session = new CellSession();

    private void submit(String job, JobSpec spec) {
        session.call("h1", new CallerOperation.Submit(spec), "/q/" + job);
    }

    @Test
    void pausedTaskStaysPausedWhenTheAnswerToItsStartComes() {
        FakeWorker worker = session.addWorker("w", 16_000);
        worker.setReportedPercent(100);
        session.store().write("flamingopitch/learned", LEARNED);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        submit(
                "00000000000000aa",
                new JobSpec("work", List.of(SampleSteps.latencyCritical("service", 7_000, TARGET_MILLIS)), 0, 0, 0));
        session.advance(Duration.ofSeconds(2));
        session.partitions().setStartAnswerLatency(ANSWER_LATENCY);
        submit(BATCH_JOB, new JobSpec("work", List.of(SampleSteps.bestEffort("heavy", 3_000)), 0, 0, 0));
        Duration waited = Duration.ZERO;
        while (session.running(BATCH_JOB).isEmpty() && waited.compareTo(Duration.ofSeconds(3)) < 0) {
            session.advance(TICK);
            waited = waited.plus(TICK);
        }
        assertThat(session.running(BATCH_JOB)).hasSize(1);
        TaskRef task = session.running(BATCH_JOB).get(0);
        worker.setMeasurements(each -> 2 * TARGET_MILLIS);
        session.advance(ANSWER_LATENCY.minusMillis(100));
        assertThat(worker.speed(task)).as("speed before the answer").isZero();
        for (Duration left = Duration.ofMillis(300); !left.isZero(); left = left.minus(TICK)) {
            session.advance(TICK);
            assertThat(worker.speed(task)).isZero();
        }
        assertThat(session.running(BATCH_JOB)).hasSize(1);
    }
}
