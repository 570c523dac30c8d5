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
 * Two workers are reserved for long-running tasks, to which short ones make room or which are moved there, while a job
 * waits that fits on both. The platform takes a job for lost that has nothing running for 3 s although two workers have capacity.
 */
final class ReservedWorkerTest {

    private static final Duration STEP = Duration.ofMillis(20);

    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(3);

    private static final String IDLE_JOB = "00000000000000dd";

    private static final List<String> SHORT_JOBS = List.of("00000000000000bb", IDLE_JOB);

    private final CellSession session = new CellSession();

    private void submit(String id, int count, long milliCores, boolean lasting) {
        submit(id, count, milliCores, lasting, null);
    }

    /** Submits a job; with a label that all workers have it is of another kind, for which a worker is reserved too. */
    private void submit(String id, int count, long milliCores, boolean lasting, String label) {
        StepSpec step = new StepSpecBuilder()
                .count(count)
                .demand(new Resources(milliCores, 100, 0))
                .lasting(lasting)
                .maxPerWorker(1)
                .requiredLabel(label)
                .build();
        session.call("h1", new CallerOperation.Submit(new JobSpec("work", List.of(step), 0, 0, 0)), "/q/" + id);
    }

    /** Reserves both workers, each with 8.5 of 16 cores free, for a task that needs 9. */
    private void reserveBothWorkers() {
        for (String name : List.of("w0", "w1")) {
            // Short tasks report rising progress, or they would count as stalled.
            session.addWorker(name, 16_000)
                    .setReportedPercents(task -> SHORT_JOBS.contains(task.job().value()) ? -1 : 100);
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        submit("00000000000000aa", 2, 3_000, true);
        submit("00000000000000bb", 2, 4_500, false);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.worker("w0").running()).hasSize(2);
        assertThat(session.worker("w1").running()).hasSize(2);
        try (RecordedLog log = new RecordedLog("org.flamingopitch.scheduler.cell.owner.PreemptionPlanner")) {
            submit("00000000000000cc", 1, 9_000, true);
            submit("00000000000000ce", 1, 9_000, true, "a");
            session.advance(Duration.ofMillis(200));
            assertThat(log.lines())
                    .filteredOn(line -> line.contains("room_kept"))
                    .hasSize(2);
        }
    }

    private Duration idleTimeOfAShortJob() {
        submit(IDLE_JOB, 1, 1_000, false);
        Duration idle = Duration.ZERO;
        while (session.running(IDLE_JOB).isEmpty() && idle.compareTo(Duration.ofSeconds(12)) < 0) {
            session.advance(STEP);
            idle = idle.plus(STEP);
        }
        System.out.printf("idle for %d ms%n", idle.toMillis());
        return idle;
    }

    @Test
    void shortJobRunsInTimeThoughBothWorkersAreReserved() {
        reserveBothWorkers();
        assertThat(idleTimeOfAShortJob()).isLessThan(MAX_IDLE_TIME);
    }

    /** The stops that make room are lost, so that the reservations last longest. */
    @Test
    void shortJobRunsInTimeThoughBothWorkersAreReservedAndDoNotAnswerStops() {
        reserveBothWorkers();
        session.worker("w0").setStopsLost(true);
        session.worker("w1").setStopsLost(true);
        assertThat(idleTimeOfAShortJob()).isLessThan(MAX_IDLE_TIME);
    }

    /** The targets of two moves were closed to a task that fits beside the moved ones, until the stops were answered. */
    @Test
    void shortJobRunsInTimeThoughBothWorkersAreTargetsOfMoves() {
        for (String name : List.of("w0", "w1", "b0", "b1")) {
            FakeWorker worker = session.addWorker(name, 16_000);
            worker.setDataCentre(name.substring(0, 1));
            worker.setReportedPercents(task -> SHORT_JOBS.contains(task.job().value()) ? -1 : 100);
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        EvacuationRequests.evacuate(session, "w");
        session.advance(Duration.ofMillis(100));
        submit("00000000000000cc", 1, 9_000, true);
        submit("00000000000000ce", 1, 9_000, true);
        session.advance(Duration.ofMillis(500));
        EvacuationRequests.withdraw(session, "w");
        session.worker("b0").setStopsLost(true);
        session.worker("b1").setStopsLost(true);
        session.advance(Duration.ofMillis(100));
        EvacuationRequests.evacuate(session, "b");
        session.advance(Duration.ofMillis(300));
        assertThat(session.metrics().moves()).hasSize(2);
        assertThat(idleTimeOfAShortJob()).isLessThan(MAX_IDLE_TIME);
    }
}
