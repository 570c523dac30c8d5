package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests which workers are reserved for tasks that may be started only in isolation. */
final class IsolationPlannerTest {

    private final Instant now = OwnerFixtures.NOW;

    private final WorkerHealth health = new WorkerHealth();

    private final PlacementPolicy placementPolicy = new PlacementPolicy(health, new InterferenceEstimator());

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

    private enum Limit {
        QUARANTINE,
        ANTI_AFFINITY,
        CAPACITY,
        ISOLATION
    }

    /** Keeps the tasks of the step off a worker. */
    private void exclude(WorkerState excluded, Step step, Limit limit) {
        switch (limit) {
            case QUARANTINE -> health.quarantine(excluded.id(), now);
            case ANTI_AFFINITY -> excluded.add(step.tasks().get(1).place(excluded, now));
            case CAPACITY ->
                excluded.add(OwnerFixtures.task(OwnerFixtures.job("00000000000000cc", lasting(4_000), now))
                        .place(excluded, now));
            case ISOLATION -> excluded.reserveFor(suspectSubmittedAt(now), now.plusSeconds(6));
            default -> throw new IllegalArgumentException(limit.name());
        }
    }

    private static StepSpec lasting(long milliCores) {
        return OwnerFixtures.latencyCriticalStep("s", milliCores, 10);
    }

    private Step idleStep() {
        StepSpec spec = new StepSpecBuilder()
                .count(2)
                .demand(new Resources(1_000, 10, 0))
                .estimateMillis(1_000)
                .maxPerWorker(1)
                .build();
        return OwnerFixtures.job("00000000000000ee", spec, now).step(0, 0);
    }

    /** Without the gap the isolated tasks follow each other there, and the job waits for the last of them. */
    @ParameterizedTest
    @EnumSource(Limit.class)
    void lastWorkerThatIsOpenToAnIdleJobStaysOpenForAShortTime(Limit limit) {
        WorkerState other = OwnerFixtures.worker("v", 4_000);
        List<WorkerState> workers = List.of(worker, other);
        Step idle = idleStep();
        exclude(other, idle, limit);
        planner.startPass(List.of(idle), workers, each -> true, now);
        assertThat(planner.mayClose(worker, now)).isFalse();
        Instant later = now.plusMillis(500);
        planner.startPass(List.of(idle), workers, each -> true, later);
        assertThat(planner.mayClose(worker, later)).isTrue();
    }

    /** A time from an earlier need would leave no gap for the present one. */
    @Test
    void workerStaysOpenAgainIfItIsNeededAgain() {
        planner.startPass(List.of(idleStep()), List.of(worker), each -> true, now);
        assertThat(planner.mayClose(worker, now)).isFalse();
        planner.startPass(List.of(), List.of(worker), each -> true, now.plusSeconds(1));
        Instant later = now.plusSeconds(60);
        planner.startPass(List.of(idleStep()), List.of(worker), each -> true, later);
        assertThat(planner.mayClose(worker, later)).isFalse();
    }

    @Test
    void workerIsClosedAtOnceIfAnotherOneIsOpenToTheIdleJob() {
        WorkerState other = OwnerFixtures.worker("v", 4_000);
        planner.startPass(List.of(idleStep()), List.of(worker, other), each -> true, now);
        assertThat(planner.mayClose(worker, now)).isTrue();
        planner.onClosed(other);
        assertThat(planner.mayClose(worker, now)).isFalse();
    }

    /** A reservation during the turn of a task would leave no gap after it. */
    @Test
    void workerIsNotReservedDuringTheTurnOfATask() {
        Task running = suspectSubmittedAt(now);
        worker.add(running.place(worker, now));
        planner.reserve(suspectSubmittedAt(now), List.of(worker), each -> true, now);
        assertThat(worker.reservedFor(now)).isNull();
    }

    /** One task at work is enough for a job, so that its other tasks do not delay other jobs. */
    @Test
    void oneTaskOfEachIdleJobHasItsTurnFirst() {
        Job idle = OwnerFixtures.job("00000000000000a1", OwnerFixtures.rackStep(2, 1_000, 1_000, null, false), now);
        Job otherIdle =
                OwnerFixtures.job("00000000000000a2", OwnerFixtures.rackStep(1, 1_000, 1_000, null, false), now);
        Job served = OwnerFixtures.job("00000000000000a3", OwnerFixtures.rackStep(1, 1_000, 1_000, null, false), now);
        Task first = idle.step(0, 0).tasks().get(0);
        Task second = idle.step(0, 0).tasks().get(1);
        Task ofServed = OwnerFixtures.task(served);
        Task ofOther = OwnerFixtures.task(otherIdle);
        assertThat(IsolationPlanner.order(List.of(ofServed, first, second, ofOther), job -> job != served))
                .containsExactly(first, ofOther, ofServed, second);
    }
}
