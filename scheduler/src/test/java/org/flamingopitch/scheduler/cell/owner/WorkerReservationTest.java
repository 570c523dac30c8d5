package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/** A reservation must keep off what would take the room of its task or endanger it, and nothing else for long. */
final class WorkerReservationTest {

    private final Instant now = OwnerFixtures.NOW;

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    private final Task moved = task("m", OwnerFixtures.latencyCriticalStep("s", 9_000, 10));

    private Task task(String id, StepSpec step) {
        return OwnerFixtures.task(OwnerFixtures.job(id, step, now));
    }

    private Task shortTask(long milliCores) {
        return task("j", OwnerFixtures.rackStep(2, milliCores, 1_000, null, false));
    }

    private void reserve(Task task) {
        worker.reserveFor(task, now.plusSeconds(3));
    }

    @Test
    void shortTaskBesideWhichTheReservedOneFitsIsNotKeptOff() {
        reserve(moved);
        assertThat(worker.reservedForOther(shortTask(7_000), now)).isFalse();
    }

    @Test
    void shortTaskThatWouldTakeTheRoomIsKeptOff() {
        reserve(moved);
        assertThat(worker.reservedForOther(shortTask(7_001), now)).isTrue();
        OwnerFixtures.run(shortTask(4_000), worker, 1);
        assertThat(worker.reservedForOther(shortTask(3_001), now)).isTrue();
    }

    /** The headroom of the moved task was predicted without it. */
    @Test
    void bestEffortTaskIsKeptOff() {
        reserve(moved);
        assertThat(worker.reservedForOther(task("b", OwnerFixtures.bestEffortStep("i", 1, 1_000, 1_000)), now))
                .isTrue();
    }

    @Test
    void otherLongRunningTaskIsKeptOff() {
        reserve(moved);
        assertThat(worker.reservedForOther(task("l", OwnerFixtures.latencyCriticalStep("s", 1_000, 10)), now))
                .isTrue();
    }

    @Test
    void taskThatMayCrashTheWorkerIsKeptOff() {
        reserve(moved);
        Task suspect = shortTask(1_000);
        suspect.addCrash(1, true);
        assertThat(worker.reservedForOther(suspect, now)).isTrue();
    }

    /** A new run there is not proven, so that the task in need of isolation would wait longer. */
    @Test
    void allTasksAreKeptOffAWorkerThatIsReservedForIsolation() {
        Task suspect = task("d", OwnerFixtures.latencyCriticalStep("s", 1_000, 10));
        suspect.addCrash(1, true);
        suspect.addCrash(2, true);
        assertThat(suspect.needsIsolation()).isTrue();
        reserve(suspect);
        assertThat(worker.reservedForOther(shortTask(1_000), now)).isTrue();
    }

    /** Two workers reserved for isolation would keep a job off both for 6 s, longer than the platform permits. */
    @Test
    void oneOfTwoWorkersIsReservedForIsolationAtMost() {
        WorkerState other = OwnerFixtures.worker("v", 16_000);
        IsolationPlanner planner =
                new IsolationPlanner(new PlacementPolicy(new WorkerHealth(), new InterferenceEstimator()));
        for (String id : List.of("d", "e")) {
            Task suspect = task(id, OwnerFixtures.rackStep(1, 1_000, 1_000, null, false));
            suspect.addCrash(1, true);
            suspect.addCrash(2, true);
            planner.reserve(suspect, List.of(worker, other), each -> true, now);
        }
        assertThat(List.of(worker, other))
                .filteredOn(each -> each.reservedFor(now) != null)
                .hasSize(1);
    }

    /** A best-effort job was idle for 6.5 s while four long-running tasks in a row had each of its workers reserved. */
    @Test
    void bestEffortTaskOfAnIdleJobIsNotKeptOffByALongRunningTaskThatLacksProcessorTime() {
        OwnerFixtures.run(shortTask(16_000), worker, 1);
        reserve(moved);
        Task bestEffort = task("b", OwnerFixtures.bestEffortStep("i", 1, 1_000, 1_000));
        assertThat(worker.reservedForOther(bestEffort, now)).isTrue();
        assertThat(StarvedTaskReservation.keepsOff(worker, bestEffort, now)).isFalse();
        assertThat(StarvedTaskReservation.keepsOff(worker, shortTask(1_000), now))
                .isTrue();
    }

    @Test
    void bestEffortTaskOfAnIdleJobIsKeptOffIfItMayCrashTheWorkerOrTheReservedTaskNeedsIsolation() {
        reserve(moved);
        Task suspect = task("b", OwnerFixtures.bestEffortStep("i", 1, 1_000, 1_000));
        suspect.addCrash(1, true);
        assertThat(StarvedTaskReservation.keepsOff(worker, suspect, now)).isTrue();
        moved.addCrash(1, true);
        moved.addCrash(2, true);
        Task harmless = task("c", OwnerFixtures.bestEffortStep("i", 1, 1_000, 1_000));
        assertThat(StarvedTaskReservation.keepsOff(worker, harmless, now)).isTrue();
    }

    @Test
    void bestEffortTaskOfAnIdleJobIsKeptOffIfItWouldTakeTheMemory() {
        StepSpec large = new StepSpecBuilder()
                .demand(new Resources(1_000, 100_000, 0))
                .lasting(true)
                .build();
        reserve(task("l", large));
        Task bestEffort = task("b", OwnerFixtures.bestEffortStep("i", 1, 1_000, 1_000));
        assertThat(StarvedTaskReservation.keepsOff(worker, bestEffort, now)).isTrue();
    }
}
