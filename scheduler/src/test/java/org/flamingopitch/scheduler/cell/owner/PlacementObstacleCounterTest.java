package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.Test;

/** If two obstacles share a count, a line cannot say which of them keeps a task waiting. */
final class PlacementObstacleCounterTest {

    private static final Instant NOW = OwnerFixtures.NOW;

    private static final long CAPACITY = 16_000;

    private final WorkerHealth health = new WorkerHealth();

    private final InterferenceEstimator interference = new InterferenceEstimator();

    private final PlacementPolicy placementPolicy = new PlacementPolicy(health, interference);

    private final List<WorkerState> workers = new ArrayList<>();

    private WorkerState addWorker(PlacementObstacle obstacle) {
        return addWorker(obstacle, "r1");
    }

    /** Adds a worker with an obstacle's name, by which those that take no task are recognized. */
    private WorkerState addWorker(PlacementObstacle obstacle, String rack) {
        WorkerState worker = OwnerFixtures.worker(obstacle.name(), CAPACITY, rack);
        workers.add(worker);
        return worker;
    }

    private static PlacementObstacle workerObstacle(WorkerState worker) {
        PlacementObstacle obstacle = PlacementObstacle.valueOf(worker.id().value());
        return obstacle.compareTo(PlacementObstacle.CAPACITY) < 0 ? obstacle : PlacementObstacle.NONE;
    }

    private String fields(Task task) {
        return new PlacementObstacleCounter(placementPolicy, workers, PlacementObstacleCounterTest::workerObstacle, NOW)
                .fields(task);
    }

    private static Task task(StepSpec step) {
        return OwnerFixtures.task(OwnerFixtures.job("j", step, NOW));
    }

    private static StepSpec step(long milliCores, long memoryMegabytes) {
        return new StepSpecBuilder()
                .demand(new Resources(milliCores, memoryMegabytes, 0))
                .build();
    }

    private static Task taskThatNeedsIsolation() {
        Task task = task(step(1_000, 10));
        task.addCrash(1, true);
        task.addCrash(2, true);
        assertThat(task.needsIsolation()).isTrue();
        return task;
    }

    private void serve(WorkerState worker, String image) {
        OwnerFixtures.run(task(OwnerFixtures.latencyCriticalStep(image, 3_000, 40)), worker, 16);
    }

    private static void fill(WorkerState worker, long milliCores) {
        OwnerFixtures.run(task(OwnerFixtures.bestEffortStep("other", 1, milliCores, 1_000)), worker, 0);
    }

    /** Adds for each obstacle a worker that has only this one. */
    private void addWorkerForEachObstacle() {
        interference.restore(
                List.of(new LearnedRecord.Response("server", 2.5, List.of(new LearnedRecord.Cost("heavy", 12, 0.1)))));
        Arrays.stream(PlacementObstacle.values())
                .filter(obstacle -> obstacle.compareTo(PlacementObstacle.CAPACITY) < 0)
                .forEach(this::addWorker);
        OwnerFixtures.run(task(step(0, 100_000)), addWorker(PlacementObstacle.CAPACITY), 0);
        addWorker(PlacementObstacle.NOT_PERMITTED, "r2");
        WorkerState onTrial = addWorker(PlacementObstacle.TRIAL);
        health.quarantine(onTrial.id(), NOW);
        OwnerFixtures.run(task(step(1_000, 10)), onTrial, 0);
        fill(addWorker(PlacementObstacle.PROCESSOR_TIME), CAPACITY);
        WorkerState trying = addWorker(PlacementObstacle.UNKNOWN_INTERFERENCE);
        serve(trying, "fresh");
        fill(trying, 1_000);
        serve(addWorker(PlacementObstacle.HEADROOM), "server");
        addWorker(PlacementObstacle.RESERVED).reserveFor(task(step(1_000, 10)), NOW.plusSeconds(1));
        OwnerFixtures.run(taskThatNeedsIsolation(), addWorker(PlacementObstacle.ISOLATION), 0);
        addWorker(PlacementObstacle.NONE);
    }

    @Test
    void eachObstacleIsToldApart() {
        addWorkerForEachObstacle();
        addWorker(PlacementObstacle.DRAINING);
        StepSpec heavy = new StepSpecBuilder()
                .demand(new Resources(2_000, 10, 0))
                .image("heavy")
                .fills(true)
                .requiredLabel("r1")
                .build();
        String expected = Arrays.stream(PlacementObstacle.values())
                .map(obstacle -> obstacle.name().toLowerCase(Locale.ROOT)
                        + (obstacle == PlacementObstacle.DRAINING ? "=2" : "=1"))
                .collect(Collectors.joining(" "));
        assertThat(fields(task(heavy))).isEqualTo(expected);
    }

    @Test
    void workerReservedForTheTaskItselfIsNoObstacle() {
        Task task = task(step(1_000, 10));
        addWorker(PlacementObstacle.NONE).reserveFor(task, NOW.plusSeconds(1));
        assertThat(fields(task)).isEqualTo("none=1");
    }

    @Test
    void taskThatNeedsIsolationIsKeptOffWorkersWithUnprovenRuns() {
        fill(addWorker(PlacementObstacle.NONE), 1_000);
        addWorker(PlacementObstacle.NONE);
        assertThat(fields(taskThatNeedsIsolation())).isEqualTo("isolation=1 none=1");
    }

    @Test
    void workerWithoutAnEntryIsNotCounted() {
        workers.add(new WorkerState(new WorkerId("MISSING"), NOW));
        addWorker(PlacementObstacle.NONE);
        assertThat(fields(task(step(1_000, 10)))).isEqualTo("none=1");
    }
}
