package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.Test;

/** Tests when workers are in quarantine. */
final class WorkerHealthTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static final WorkerId WORKER = new WorkerId("w1");

    private final WorkerHealth health = new WorkerHealth();

    private static Instant after(int seconds) {
        return START.plus(Duration.ofSeconds(seconds));
    }

    @Test
    void quarantineGrowsForShortTasksOnly() {
        health.quarantine(WORKER, START);
        assertThat(health.quarantined(WORKER, after(2))).isTrue();
        assertThat(health.quarantinedForAll(WORKER, after(2))).isTrue();
        assertThat(health.quarantined(WORKER, after(3))).isFalse();
        health.quarantine(WORKER, after(3));
        health.quarantine(WORKER, after(9));
        assertThat(health.quarantined(WORKER, after(20))).isTrue();
        assertThat(health.quarantinedForAll(WORKER, after(11))).isTrue();
        assertThat(health.quarantinedForAll(WORKER, after(12))).isFalse();
    }

    @Test
    void failuresOfOneJobDoNotQuarantineAWorker() {
        JobId job = new JobId("00000000000000aa");
        for (int i = 0; i < 5; i++) {
            assertThat(health.recordFailure(WORKER, job, START, START)).isFalse();
        }
        assertThat(health.quarantined(WORKER, START)).isFalse();
    }

    @Test
    void successEndsTheGrowthOfTheQuarantine() {
        health.quarantine(WORKER, START);
        health.quarantine(WORKER, START);
        health.recordSuccess(WORKER, 1, START);
        health.quarantine(WORKER, START);
        assertThat(health.quarantined(WORKER, after(3))).isFalse();
    }

    @Test
    void trialThatSucceedsEndsTheQuarantine() {
        growQuarantine();
        health.recordSuccess(WORKER, 1, START.minusSeconds(1));
        assertThat(health.quarantined(WORKER, after(4))).isTrue();
        health.recordSuccess(WORKER, 1, after(4));
        assertThat(health.quarantined(WORKER, after(5))).isFalse();
    }

    /** A task of an idle job may run as a trial while the worker still takes no task at all. */
    @Test
    void earlyTrialThatSucceedsOpensTheWorkerForAllTasks() {
        health.quarantine(WORKER, START);
        health.recordSuccess(WORKER, 1, after(1));
        assertThat(health.quarantinedForAll(WORKER, after(2))).isFalse();
    }

    @Test
    void trialThatFailsBeginsAnotherQuarantine() {
        growQuarantine();
        assertThat(health.recordFailure(WORKER, new JobId("00000000000000aa"), after(4), after(5)))
                .isTrue();
        assertThat(health.quarantinedForAll(WORKER, after(7))).isTrue();
    }

    /** Faulty jobs that are started as a last resort would keep long-running tasks off the worker for good. */
    @Test
    void earlyTrialThatFailsDoesNotCloseTheWorkerForLongRunningTasksAgain() {
        growQuarantine();
        Instant failedAt = after(3).minusMillis(100);
        assertThat(health.recordFailure(WORKER, new JobId("00000000000000a0"), after(2), failedAt))
                .isTrue();
        for (int i = 1; i <= 4; i++) {
            health.recordFailure(WORKER, new JobId("00000000000000a" + i), after(2), failedAt);
        }
        assertThat(health.quarantinedForAll(WORKER, after(3).minusMillis(50))).isTrue();
        assertThat(health.quarantinedForAll(WORKER, after(3))).isFalse();
        assertThat(health.quarantined(WORKER, after(14))).isTrue();
    }

    /** Quarantines the worker for 12 s. */
    private void growQuarantine() {
        health.quarantine(WORKER, START);
        health.quarantine(WORKER, START);
        health.quarantine(WORKER, START);
    }
}
