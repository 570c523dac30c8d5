package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which workers are reserved for tasks that may be started only in isolation. */
final class IsolationPlannerTest {

    private final Instant now = OwnerFixtures.NOW;

    private final PlacementPolicy placementPolicy =
            new PlacementPolicy(new WorkerHealth(), new InterferenceEstimator());

    private final IsolationPlanner planner = new IsolationPlanner(placementPolicy);

    private final WorkerState worker = OwnerFixtures.worker("w", 4_000);

    private static Task suspectSubmittedAt(Instant submittedAt) {
        Job job = OwnerFixtures.job(
                "00000000000000dd", OwnerFixtures.rackStep(1, 1_000, 1_000, null, false), submittedAt);
        Task task = OwnerFixtures.task(job);
        task.addCrash(1, true);
        task.addCrash(2, true);
        assertThat(task.needsIsolation()).isTrue();
        return task;
    }

    private void addUnprovenRun() {
        Job other = OwnerFixtures.job("00000000000000aa", OwnerFixtures.rackStep(1, 1_000, 1_000, null, false), now);
        Run run = OwnerFixtures.task(other).place(worker, now);
        worker.add(run);
        assertThat(run.proven()).isFalse();
    }

    @Test
    void workerWithUnprovenRunsIsReserved() {
        Task task = suspectSubmittedAt(now);
        addUnprovenRun();
        planner.reserve(task, List.of(worker), each -> true, now);
        assertThat(worker.reservedFor(now)).isEqualTo(task);
        assertThat(task.hasReservation(now)).isTrue();
    }

    /** The reservation had no effect once the job was late, so that new tasks kept the worker from being free. */
    @Test
    void workerIsReservedForATaskOfAnExpiredJob() {
        Task task = suspectSubmittedAt(now.minusSeconds(60));
        assertThat(task.job().expired(now)).isTrue();
        addUnprovenRun();
        planner.reserve(task, List.of(worker), each -> true, now);
        assertThat(worker.reservedFor(now)).isEqualTo(task);
        assertThat(task.hasReservation(now)).isTrue();
    }

    /** A reservation that is not in effect was made again in each pass. */
    @Test
    void reservationForATaskOfAnExpiredJobIsNotRenewedInTheNextPass() {
        Task task = suspectSubmittedAt(now.minusSeconds(60));
        addUnprovenRun();
        planner.reserve(task, List.of(worker), each -> true, now);
        Instant until = worker.reservedUntil();
        Instant nextPass = now.plusMillis(500);
        planner.reserve(task, List.of(worker), each -> true, nextPass);
        assertThat(worker.reservedUntil()).isEqualTo(until);
        assertThat(worker.reservedFor(until)).isNull();
    }

    /** Only isolation needs a worker without new tasks; a late job gets no other kind of reservation. */
    @Test
    void reservationForAnExpiredJobWithoutSuspectsHasNoEffect() {
        Duration late = Duration.ofSeconds(60);
        Job job = OwnerFixtures.job(
                "00000000000000bb", OwnerFixtures.rackStep(1, 1_000, 1_000, null, false), now.minus(late));
        worker.reserveFor(OwnerFixtures.task(job), now.plusSeconds(6));
        assertThat(worker.reservedFor(now)).isNull();
    }
}
