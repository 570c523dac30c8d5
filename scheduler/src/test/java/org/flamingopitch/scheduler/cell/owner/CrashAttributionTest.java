package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.Test;

/** A crash counts under the tasks that may have caused it, once for each run, until a run is proven. */
final class CrashAttributionTest {

    private static final Instant NOW = OwnerFixtures.NOW;

    private final CrashAttribution attribution = new CrashAttribution();

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    private final Task task =
            OwnerFixtures.task(OwnerFixtures.job("j", OwnerFixtures.bestEffortStep("i", 1, 1_000, 60_000), NOW));

    /** Starts the next run of the task, which the worker reports after the given time. */
    private Run start(Duration reportedAfter) {
        Run run = task.place(worker, NOW);
        worker.add(run);
        run.enterPhase(RunPhase.SENT, NOW);
        run.enterPhase(RunPhase.RUNNING, NOW);
        run.observe(10, 0, NOW.plus(reportedAfter));
        return run;
    }

    @Test
    void crashCountsOnceForARun() {
        Run run = start(Duration.ofMillis(500));
        assertThat(attribution.recordCrash(worker, List.of(run))).containsExactly(run);
        assertThat(attribution.recordCrash(worker, List.of(run))).isEmpty();
        assertThat(task.crashedRuns()).containsExactly(1);
    }

    @Test
    void provenRunIsNoSuspect() {
        Run run = start(CrashAttribution.SUSPICION_TIME);
        assertThat(attribution.recordCrash(worker, List.of(run))).isEmpty();
    }

    @Test
    void taskIsIsolatedAfterTwoCrashesAndExhaustedAfterThree() {
        for (int crashes = 1; crashes <= 3; crashes++) {
            Run run = start(Duration.ZERO);
            attribution.recordCrash(worker, List.of(run));
            run.release(NOW);
            assertThat(task.suspect()).isTrue();
            assertThat(task.needsIsolation()).isEqualTo(crashes >= 2);
            assertThat(task.waiting(NOW)).isEqualTo(crashes < 2);
            assertThat(attribution.tasksAwaitingIsolation(NOW)).hasSize(crashes >= 2 ? 1 : 0);
            assertThat(CrashAttribution.exhausted(task)).isEqualTo(crashes == 3);
        }
    }

    @Test
    void taskWithoutConfirmedStartsIsExhaustedOnlyAfterFiveCrashes() {
        for (int crashes = 1; crashes <= 5; crashes++) {
            Run run = task.place(worker, NOW);
            run.enterPhase(RunPhase.SENT, NOW);
            attribution.recordCrash(worker, List.of(run));
            run.release(NOW);
            assertThat(task.needsIsolation()).isEqualTo(crashes >= 3);
            assertThat(CrashAttribution.exhausted(task)).isEqualTo(crashes == 5);
        }
    }

    @Test
    void taskWithOneConfirmedCrashIsNotExhaustedByThreeUnconfirmedOnes() {
        task.addCrash(1, true);
        for (int run = 2; run <= 4; run++) {
            task.addCrash(run, false);
            assertThat(task.needsIsolation()).isTrue();
            assertThat(CrashAttribution.exhausted(task)).isFalse();
        }
        task.addCrash(5, true);
        assertThat(CrashAttribution.exhausted(task)).isTrue();
    }

    @Test
    void provenRunClearsItsTask() {
        for (int crashes = 0; crashes < 2; crashes++) {
            Run run = start(Duration.ZERO);
            attribution.recordCrash(worker, List.of(run));
            run.release(NOW);
        }
        start(CrashAttribution.SUSPICION_TIME);
        assertThat(attribution.clear(worker)).containsExactly(task);
        assertThat(task.suspect()).isFalse();
        assertThat(attribution.tasksAwaitingIsolation(NOW)).isEmpty();
    }

    @Test
    void lapsedRunsCountOnlyWhenTheirWorkerIsKnownToHaveCrashed() {
        Run run = start(Duration.ZERO);
        attribution.recordLapse(worker, List.of(run), NOW);
        assertThat(task.suspect()).isFalse();
        assertThat(attribution.recordCrash(worker, List.of())).containsExactly(run);
    }

    @Test
    void lapsedRunsOfACutOffWorkerAreCleared() {
        Run run = start(Duration.ZERO);
        attribution.recordLapse(worker, List.of(run), NOW);
        attribution.clear(worker);
        assertThat(attribution.recordCrash(worker, List.of())).isEmpty();
    }

    @Test
    void endOfADrainingWorkerIsNoCrash() {
        Run run = start(Duration.ZERO);
        worker.register(
                new WorkerEntry(
                        new WorkerId("w"),
                        1,
                        "127.0.0.1:1",
                        new ServiceName("pool"),
                        "dc",
                        true,
                        0,
                        0,
                        new Resources(16_000, 100_000, 0),
                        Set.of()),
                NOW);
        assertThat(attribution.recordCrash(worker, List.of(run))).isEmpty();
    }

    @Test
    void tasksOfEndedJobsAreNotCounted() {
        Run run = start(Duration.ZERO);
        task.job().end(JobState.CANCELLED, NOW);
        assertThat(attribution.recordCrash(worker, List.of(run))).isEmpty();
    }

    @Test
    void restoredSuspectsAreIsolated() {
        task.addCrash(1, true);
        task.addCrash(2, true);
        attribution.restore(task.job());
        assertThat(attribution.tasksAwaitingIsolation(NOW)).containsExactly(task);
    }
}
