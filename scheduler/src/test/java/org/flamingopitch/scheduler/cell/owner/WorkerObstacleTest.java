package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.disruption.Evacuations;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A worker that takes no tasks must be logged with the cause, since each cause ends in another way. */
final class WorkerObstacleTest {

    private static final Instant NOW = OwnerFixtures.NOW;

    private final Evacuations evacuations = new Evacuations();

    private final OneWorker context = new OneWorker();

    private final WorkerRegistry registry = new WorkerRegistry(
            context,
            1,
            Duration.ofSeconds(6),
            NOW.plusSeconds(10),
            evacuations,
            new WorkerOrderSenderTest.RecordingListener());

    @BeforeEach
    void listWorker() {
        evacuations.update(Set.of());
        registry.start();
    }

    private WorkerState worker() {
        return registry.worker(new WorkerId("w"));
    }

    private void check(PlacementObstacle expected) {
        assertThat(registry.obstacle(worker(), NOW.plusSeconds(3))).isEqualTo(expected);
        assertThat(registry.usable(worker(), NOW.plusSeconds(3))).isEqualTo(expected == PlacementObstacle.NONE);
    }

    @Test
    void workerThatNeverAnsweredOrNoLongerAnswersIsNotAnswering() {
        check(PlacementObstacle.NOT_ANSWERING);
        context.answering = false;
        registry.tick(true);
        check(PlacementObstacle.NOT_ANSWERING);
    }

    @Test
    void workerThatAnswersHasNoObstacle() {
        registry.tick(true);
        check(PlacementObstacle.NONE);
    }

    @Test
    void workerWithoutAnEntryIsMissing() {
        WorkerState unknown = registry.worker(new WorkerId("unknown"));
        assertThat(registry.obstacle(unknown, NOW)).isEqualTo(PlacementObstacle.MISSING);
        assertThat(registry.usable(unknown, NOW)).isFalse();
    }

    @Test
    void workerThatIsNoLongerListedIsMissingAfterTheGracePeriod() {
        registry.tick(true);
        worker().markMissing(NOW);
        assertThat(registry.usable(worker(), NOW.plusMillis(2_900))).isTrue();
        check(PlacementObstacle.MISSING);
    }

    @Test
    void replacedWorkerIsToldApart() {
        registry.tick(true);
        worker().markReplaced();
        check(PlacementObstacle.REPLACED);
    }

    @Test
    void drainingWorkerIsToldApart() {
        registry.tick(true);
        worker().register(OneWorker.entry(true), NOW);
        check(PlacementObstacle.DRAINING);
    }

    @Test
    void workerOfAnEvacuatedDataCentreIsToldApart() {
        registry.tick(true);
        evacuations.update(Set.of("dc"));
        check(PlacementObstacle.EVACUATED);
    }

    @Test
    void workerWithUnknownRunsIsToldApart() {
        registry.tick(true);
        worker().setHasUnknownRuns(true);
        check(PlacementObstacle.UNKNOWN_RUNS);
    }

    @Test
    void workerWhoseEntryAndReportAreOfDifferentLivesIsToldApart() {
        registry.tick(true);
        worker().register(OwnerFixtures.entry("w", 2, 16_000, "r1"), NOW);
        check(PlacementObstacle.RESTARTED);
    }

    /** An entry without a start time tells nothing; a worker must not be excluded for good because of it. */
    @Test
    void workerWhoseEntryNamesNoLifeHasNoObstacle() {
        registry.tick(true);
        worker().register(OwnerFixtures.entry("w", 0, 16_000, "r1"), NOW);
        check(PlacementObstacle.NONE);
    }

    private static final class OneWorker implements CellContext {

        private boolean answering = true;

        private static WorkerEntry entry(boolean draining) {
            return new WorkerEntry(
                    new WorkerId("w"),
                    1,
                    "127.0.0.1:1",
                    new ServiceName("pool"),
                    "dc",
                    draining,
                    0,
                    0,
                    new Resources(16_000, 100_000, 0),
                    Set.of("a"));
        }

        @Override
        public Instant now() {
            return NOW;
        }

        @Override
        public long timeOfDayMillis() {
            return NOW.toEpochMilli();
        }

        @Override
        public void schedule(Duration delay, Runnable action) {}

        @Override
        public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
            throw new AssertionError("no call to the store is expected");
        }

        @Override
        public void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler) {
            handler.accept(
                    answering
                            ? new WorkerAnswer.Report(1, 0, List.of(), List.of(), true)
                            : new WorkerAnswer.Lost(new Failure("http.wait", "w", "no answer in time")));
        }

        @Override
        public void listWorkers(Consumer<WorkerListing> handler) {
            handler.accept(new WorkerListing.Listed(List.of(entry(false))));
        }
    }
}
