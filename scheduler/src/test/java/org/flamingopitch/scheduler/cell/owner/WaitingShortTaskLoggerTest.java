package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.flamingopitch.scheduler.cell.RecordedLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Without these lines nobody can tell why best-effort tasks wait beside workers that are free. */
final class WaitingShortTaskLoggerTest {

    private static final Instant LATER = OwnerFixtures.NOW.plusSeconds(3);

    private final InterferenceEstimator interference = new InterferenceEstimator();

    private final WaitingShortTaskLogger logger =
            new WaitingShortTaskLogger(new PlacementPolicy(new WorkerHealth(), interference));

    private final RecordedLog log = new RecordedLog(WaitingShortTaskLogger.class);

    @AfterEach
    void stopRecording() {
        log.close();
    }

    private void log(Instant now, Job... jobs) {
        WorkerState serving = OwnerFixtures.worker("serving", 16_000);
        interference.restore(
                List.of(new LearnedRecord.Response("server", 2.5, List.of(new LearnedRecord.Cost("heavy", 12, 0.1)))));
        Job server = OwnerFixtures.job("s", OwnerFixtures.latencyCriticalStep("server", 3_000, 40), OwnerFixtures.NOW);
        OwnerFixtures.run(OwnerFixtures.task(server), serving, 16);
        List<WorkerState> workers =
                List.of(serving, OwnerFixtures.worker("small", 1_000), OwnerFixtures.worker("lost", 16_000));
        logger.logIfDue(
                List.of(jobs),
                workers,
                worker -> worker.id().value().equals("lost") ? PlacementObstacle.NOT_ANSWERING : PlacementObstacle.NONE,
                0,
                now);
    }

    private static Job heavyJob() {
        return OwnerFixtures.job("j", OwnerFixtures.bestEffortStep("heavy", 2, 2_000, 1_000), OwnerFixtures.NOW);
    }

    @Test
    void lineCountsTheWorkersThatEachTestExcludes() {
        log(LATER, heavyJob());
        assertThat(log.lines())
                .singleElement()
                .asString()
                .contains("queue=q image=heavy waiting=2 cores=4 task=j.0.0.0 waited_ms=3000")
                .contains("not_answering=1 headroom=1 none=1");
    }

    @Test
    void tasksThatHaveWaitedOnlyShortlyAreNotLogged() {
        log(OwnerFixtures.NOW.plusMillis(900), heavyJob());
        assertThat(log.lines()).isEmpty();
    }

    @Test
    void linesAreBoundedInTimeAndNumber() {
        Job[] jobs = new Job[5];
        for (int i = 0; i < jobs.length; i++) {
            jobs[i] = OwnerFixtures.job(
                    "j" + i, OwnerFixtures.bestEffortStep("i" + i, 1, 2_000, 1_000), OwnerFixtures.NOW);
        }
        log(LATER, jobs);
        log(LATER.plusSeconds(1), jobs);
        assertThat(log.lines()).hasSize(3);
    }
}
