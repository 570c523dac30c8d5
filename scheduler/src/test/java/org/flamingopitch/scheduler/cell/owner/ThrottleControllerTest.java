package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.junit.jupiter.api.Test;

/** A task that is moved off a worker on which placement permits it is placed there again, and never gets on. */
final class ThrottleControllerTest {

    private static final double LOW_BASELINE = 1.3;

    private final InterferenceEstimator interference = new InterferenceEstimator();

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    private boolean isMoved(double cost) {
        interference.restore(List.of(new LearnedRecord.Response(
                "server", LOW_BASELINE, List.of(new LearnedRecord.Cost("filler", cost, 0.01)))));
        Job service = OwnerFixtures.job("s", OwnerFixtures.latencyCriticalStep("server", 1_000, 26), OwnerFixtures.NOW);
        OwnerFixtures.run(OwnerFixtures.task(service), worker, 20);
        Job filler = OwnerFixtures.job("f", OwnerFixtures.bestEffortStep("filler", 1, 4_000, 1_000), OwnerFixtures.NOW);
        OwnerFixtures.run(OwnerFixtures.task(filler), worker, 4_000);
        List<WorkerOrder> orders = new ArrayList<>();
        WorkerOrderSender sender = new WorkerOrderSender(
                new RecordingContext(orders), 1, Duration.ofSeconds(6), new WorkerOrderSenderTest.RecordingListener());
        new ThrottleController(sender, interference, run -> true, FeatureGates.ALL_ON)
                .adjustThrottling(worker, OwnerFixtures.NOW);
        return orders.stream().anyMatch(WorkerOrder.Stop.class::isInstance);
    }

    @Test
    void taskWithNegligibleInterferenceStaysBesideATaskWithLowHeadroom() {
        assertThat(isMoved(0.1)).isFalse();
    }

    /** At a quarter of its speed this one would be negligible; elsewhere it can run at full speed. */
    @Test
    void taskThatInterferesAtFullSpeedIsMovedFromATaskWithLowHeadroom() {
        assertThat(isMoved(1)).isTrue();
    }

    @Test
    void taskThatInterferesIsMovedFromATaskWithLowHeadroom() {
        assertThat(isMoved(4)).isTrue();
    }

    private List<WorkerOrder> adjustTwice() {
        List<WorkerOrder> orders = new ArrayList<>();
        WorkerOrderSender sender = new WorkerOrderSender(
                new RecordingContext(orders), 1, Duration.ofSeconds(6), new WorkerOrderSenderTest.RecordingListener());
        ThrottleController controller = new ThrottleController(sender, interference, run -> true, FeatureGates.ALL_ON);
        controller.adjustThrottling(worker, OwnerFixtures.NOW);
        controller.adjustThrottling(worker, OwnerFixtures.NOW.plusSeconds(1));
        return orders;
    }

    private void restore(Job job) {
        Run run = OwnerFixtures.task(job).restoreRun(worker, 1, OwnerFixtures.NOW);
        worker.add(run);
        run.observe(10, 1, OwnerFixtures.NOW);
        run.enterPhase(RunPhase.RUNNING, OwnerFixtures.NOW);
    }

    /** Reports do not show the speed, and a former owner may have paused the run; it was taken for unthrottled. */
    @Test
    void speedOfARestoredRunIsSetOnce() {
        restore(OwnerFixtures.job("f", OwnerFixtures.bestEffortStep("filler", 1, 4_000, 1_000), OwnerFixtures.NOW));
        assertThat(adjustTwice())
                .singleElement()
                .isInstanceOfSatisfying(
                        WorkerOrder.Pace.class,
                        pace -> assertThat(pace.percent()).isEqualTo(100));
    }

    @Test
    void speedOfARestoredRunThatIsNeverThrottledIsNotSet() {
        restore(OwnerFixtures.job("s", OwnerFixtures.latencyCriticalStep("server", 1_000, 26), OwnerFixtures.NOW));
        assertThat(adjustTwice()).isEmpty();
    }

    @Test
    void speedOfAnOwnRunWithoutLatencyCriticalTasksIsNotSet() {
        Job filler = OwnerFixtures.job("f", OwnerFixtures.bestEffortStep("filler", 1, 4_000, 1_000), OwnerFixtures.NOW);
        OwnerFixtures.run(OwnerFixtures.task(filler), worker, 4_000);
        assertThat(adjustTwice()).isEmpty();
    }
}
