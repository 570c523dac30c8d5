package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A best-effort task must not stay throttled after a takeover because its new owner takes it for unthrottled. */
final class RestoredThrottleTest {

    private static final String SERVICE_JOB = "00000000000000aa";

    private static final String BATCH_JOB = "00000000000000bb";

    /** Shows the latency-critical task at half of its target, as the worker reports 1 ms. */
    private static final double TARGET_MILLIS = 2;

    private static final String LEARNED = "{\"responses\":[{\"serving\":\"service\",\"baseline\":2.0,"
            + "\"costs\":[{\"filling\":\"heavy\",\"slack\":12.0,\"variance\":0.01}]}]}";

    private static final Duration TAKEOVER_TIME = Duration.ofMillis(1_500);

    private static final Duration MAX_SLOW_TIME = Duration.ofSeconds(5);

    /** The time in which the end of the job is written to the store. */
    private static final Duration COMMIT_TIME = Duration.ofMillis(100);

    private static final Duration TICK = Duration.ofMillis(5);

    private static final int MAX_TICKS = 100;

    private static final int FULL_SPEED_PERCENT = 100;

    private final CellSession session = new CellSession();

    private FakeWorker worker;

    @BeforeEach
    void startCell() {
        worker = session.addWorker("w", 16_000);
        worker.setReportedPercents(this::reportedPercent);
        session.store().write("flamingopitch/learned", LEARNED);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    /** A paused task makes no progress; that of others rises with the time. */
    private double reportedPercent(TaskRef task) {
        if (task.job().value().equals(SERVICE_JOB)) {
            return 100;
        }
        return worker.speed(task) > 0 ? -1 : 0;
    }

    private String owner() {
        return session.node("h1").ownsCell() ? "h1" : "h2";
    }

    private void submit(String job, JobSpec spec) {
        session.call(owner(), new CallerOperation.Submit(spec), "/q/" + job);
    }

    private void submitBatchJob() {
        submit(BATCH_JOB, new JobSpec("work", List.of(SampleSteps.bestEffort("heavy", 3_000)), 0, 0, 0));
    }

    private TaskRef batchTask() {
        assertThat(session.running(BATCH_JOB)).hasSize(1);
        return session.running(BATCH_JOB).get(0);
    }

    /** Replaces the owner; the other host goes on alone. */
    private void replaceOwner() {
        String former = owner();
        String successor = "h1".equals(former) ? "h2" : "h1";
        session.killHost(former);
        session.store().endLeases();
        session.advance(TAKEOVER_TIME);
        assertThat(session.node(successor).ownsCell()).isTrue();
    }

    private void startServiceAndBatchJob() {
        submit(
                SERVICE_JOB,
                new JobSpec("work", List.of(SampleSteps.latencyCritical("service", 7_000, TARGET_MILLIS)), 0, 0, 0));
        session.advance(Duration.ofSeconds(2));
        submitBatchJob();
        session.advance(Duration.ofSeconds(3));
    }

    /** The owner is lost when it has cancelled the job, before it takes note that the latency-critical task has ended. */
    private void endServiceAndReplaceOwner() {
        session.call(owner(), new CallerOperation.Cancel(), "/q/" + SERVICE_JOB);
        for (int i = 0; i < MAX_TICKS && !session.running(SERVICE_JOB).isEmpty(); i++) {
            session.advance(TICK);
        }
        worker.setUnresponsive(true);
        session.advance(COMMIT_TIME);
        worker.setUnresponsive(false);
        replaceOwner();
    }

    @Test
    void taskThatAFormerOwnerThrottledGetsItsSpeedBackWhenTheLatencyCriticalTaskHasEnded() {
        startServiceAndBatchJob();
        assertThat(worker.speed(batchTask())).isBetween(1, FULL_SPEED_PERCENT - 1);
        endServiceAndReplaceOwner();
        session.advance(MAX_SLOW_TIME);
        assertThat(session.running(SERVICE_JOB)).isEmpty();
        assertThat(worker.speed(batchTask())).isEqualTo(FULL_SPEED_PERCENT);
        assertThat(worker.started()).hasSize(2);
    }

    /** A paused run without progress was taken for stalled, and its worker was quarantined. */
    @Test
    void taskThatAFormerOwnerPausedGetsItsSpeedBackWhenTheLatencyCriticalTaskHasEnded() {
        startServiceAndBatchJob();
        worker.setMeasurements(task -> 2 * TARGET_MILLIS);
        session.advance(Duration.ofSeconds(1));
        assertThat(worker.speed(batchTask())).isZero();
        endServiceAndReplaceOwner();
        session.advance(MAX_SLOW_TIME);
        assertThat(session.running(SERVICE_JOB)).isEmpty();
        assertThat(worker.speed(batchTask())).isEqualTo(FULL_SPEED_PERCENT);
        assertThat(worker.started()).hasSize(2);
    }
}
