package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gate without an effect would make an ablation call its mechanism worthless. Each test decides with and without. */
final class FeatureGateDecisionTest {

    private static final QueueName QUEUE = new QueueName("q");

    private final DurationEstimates estimates = new DurationEstimates();

    private final AverageJobWork averageWork = new AverageJobWork();

    private final ServiceShares shares = new ServiceShares();

    private final InterferenceEstimator interference = new InterferenceEstimator();

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    private static FeatureGates gates(FeatureGate gate, boolean on) {
        return on ? FeatureGates.ALL_ON : FeatureGates.without(gate);
    }

    private static Job job(String id, int tasks, Instant submittedAt) {
        return OwnerFixtures.job(id, OwnerFixtures.bestEffortStep("i", tasks, 1_000, 1_000), submittedAt);
    }

    private String firstOf(FeatureGates gates, Job... jobs) {
        for (Job job : jobs) {
            averageWork.add(QUEUE, job.spec());
        }
        JobQueueOrder order = new JobQueueOrder(estimates, averageWork, shares, gates);
        return order.sort(List.of(jobs), OwnerFixtures.NOW).get(0).id().value();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void valueOrderPlacesASmallJobBeforeAnEarlierLargeOne(boolean on) {
        Job large = job("large", 40, OwnerFixtures.NOW.minusMillis(10));
        Job small = job("small", 1, OwnerFixtures.NOW);
        assertThat(firstOf(gates(FeatureGate.VALUE_ORDER, on), large, small)).isEqualTo(on ? "small" : "large");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void startedJobIsPlacedBeforeOneOfSomewhatMoreValueForWork(boolean on) {
        Job started = job("started", 3, OwnerFixtures.NOW);
        started.markStarted();
        Job fresh = job("fresh", 2, OwnerFixtures.NOW);
        assertThat(firstOf(gates(FeatureGate.STARTED_JOB_WEIGHT, on), started, fresh))
                .isEqualTo(on ? "started" : "fresh");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void classThatWasServedLessGetsMoreTime(boolean on) {
        JobShares jobShares = new JobShares(shares, averageWork, gates(FeatureGate.SERVICE_SHARES, on));
        SizeClass sizeClass = SizeClass.values()[0];
        for (int i = 0; i < 200; i++) {
            shares.add(QUEUE, sizeClass, 1, false, OwnerFixtures.NOW);
            shares.add(new QueueName("other"), sizeClass, 1, true, OwnerFixtures.NOW);
        }
        if (on) {
            assertThat(jobShares.boost(QUEUE, sizeClass)).isGreaterThan(1);
        } else {
            assertThat(jobShares.boost(QUEUE, sizeClass)).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void workerOnWhichJobsFailIsQuarantined(boolean on) {
        WorkerHealth health = new WorkerHealth(gates(FeatureGate.QUARANTINE, on));
        for (int i = 0; i < 20; i++) {
            health.recordFailure(worker.id(), new JobId("j" + i), OwnerFixtures.NOW, OwnerFixtures.NOW);
        }
        assertThat(health.quarantined(worker.id(), OwnerFixtures.NOW.plusMillis(1)))
                .isEqualTo(on);
    }

    private Run runLatencyCritical(String image, WorkerState target, double tailMillis) {
        Job job = OwnerFixtures.job(
                image + target.id(), OwnerFixtures.latencyCriticalStep(image, 3_000, 40), OwnerFixtures.NOW);
        return OwnerFixtures.run(OwnerFixtures.task(job), target, tailMillis);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void latencyCriticalTaskIsGroupedWithItsImage(boolean on) {
        PlacementPolicy policy =
                new PlacementPolicy(new WorkerHealth(), interference, gates(FeatureGate.IMAGE_GROUPING, on));
        WorkerState other = OwnerFixtures.worker("other", 16_000);
        runLatencyCritical("a", worker, 16);
        runLatencyCritical("b", other, 16);
        runLatencyCritical("c", other, 16);
        Job job = OwnerFixtures.job("j", OwnerFixtures.latencyCriticalStep("a", 3_000, 40), OwnerFixtures.NOW);
        PlacementPass pass = policy.startPass(List.of(worker, other), usable -> true, OwnerFixtures.NOW);
        PlacementCandidate best = pass.search(job.step(0, 0)).findBest(OwnerFixtures.task(job));
        assertThat(best.worker()).isSameAs(on ? worker : other);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lastWorkerWithoutLatencyCriticalTasksIsKeptFree(boolean on) {
        PlacementPolicy policy =
                new PlacementPolicy(new WorkerHealth(), interference, gates(FeatureGate.RESERVED_WORKERS, on));
        List<WorkerState> workers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            workers.add(OwnerFixtures.worker("w" + i, 16_000));
        }
        workers.subList(1, 10).forEach(each -> runLatencyCritical("b", each, 16));
        PlacementPass pass = policy.startPass(workers, usable -> true, OwnerFixtures.NOW);
        assertThat(policy.reserveExhausted(pass.candidates())).isEqualTo(on);
    }

    private List<WorkerOrder> throttle(FeatureGates gates, double cost, double tailMillis) {
        List<WorkerOrder> orders = new ArrayList<>();
        interference.restore(List.of(
                new LearnedRecord.Response("server", 2.5, List.of(new LearnedRecord.Cost("heavy", cost, 0.1)))));
        runLatencyCritical("server", worker, tailMillis);
        Job heavy =
                OwnerFixtures.job("heavy", OwnerFixtures.bestEffortStep("heavy", 1, 4_000, 1_000), OwnerFixtures.NOW);
        OwnerFixtures.run(OwnerFixtures.task(heavy), worker, 4_000);
        WorkerOrderSender sender = new WorkerOrderSender(
                new RecordingContext(orders),
                1,
                Duration.ofSeconds(6),
                () -> Instant.MAX,
                new WorkerOrderSenderTest.RecordingListener());
        new ThrottleController(sender, interference, run -> true, gates).adjustThrottling(worker, OwnerFixtures.NOW);
        return orders;
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void bestEffortTaskIsThrottledBeforeATargetIsMissed(boolean on) {
        List<WorkerOrder> orders = throttle(gates(FeatureGate.PREDICTIVE_THROTTLING, on), 6, 20);
        assertThat(orders).hasSize(on ? 1 : 0).allMatch(WorkerOrder.Pace.class::isInstance);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void bestEffortTaskThatWouldStayPausedIsMoved(boolean on) {
        List<WorkerOrder> orders = throttle(gates(FeatureGate.DISPLACEMENT, on), 40, 20);
        assertThat(orders.stream().anyMatch(WorkerOrder.Stop.class::isInstance)).isEqualTo(on);
    }

    /**
     * Records the orders to workers.
     *
     * @param orders receives the orders
     */
    private record RecordingContext(List<WorkerOrder> orders) implements CellContext {

        @Override
        public Instant now() {
            return OwnerFixtures.NOW;
        }

        @Override
        public long timeOfDayMillis() {
            return OwnerFixtures.NOW.toEpochMilli();
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            throw new AssertionError("no timer is expected");
        }

        @Override
        public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
            throw new AssertionError("no call to the store is expected");
        }

        @Override
        public void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler) {
            orders.add(order);
        }

        @Override
        public void listWorkers(Consumer<WorkerListing> handler) {
            throw new AssertionError("no list of workers is expected");
        }
    }
}
