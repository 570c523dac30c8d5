package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Two best-effort images beside a latency-critical one, whose headroom ratio (response time target divided by the
 * measured tail) one of them reduces more than ten times as much as the other.
 */
final class InterferenceEstimatorTest {

    private static final double TARGET_MILLIS = 40;

    private static final int REPORTS = 20;

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(400);

    private final InterferenceEstimator interference = new InterferenceEstimator();

    private WorkerState workerWith(String image, double headroom) {
        WorkerState worker = OwnerFixtures.worker("w-" + image, 10_000);
        Job latencyCritical = OwnerFixtures.job(
                "s" + image, OwnerFixtures.latencyCriticalStep("web", 4_000, TARGET_MILLIS), OwnerFixtures.NOW);
        OwnerFixtures.run(OwnerFixtures.task(latencyCritical), worker, TARGET_MILLIS / headroom);
        if (!image.isEmpty()) {
            Job bestEffort = OwnerFixtures.job(
                    "f" + image, OwnerFixtures.bestEffortStep(image, 1, 1_000, 1_000), OwnerFixtures.NOW);
            OwnerFixtures.run(OwnerFixtures.task(bestEffort), worker, 1_000);
        }
        return worker;
    }

    private void reportMeasurements() {
        WorkerState alone = workerWith("", 2.6);
        WorkerState light = workerWith("light", 2.5);
        WorkerState heavy = workerWith("heavy", 1.2);
        for (int i = 0; i < REPORTS; i++) {
            Instant now = OwnerFixtures.NOW.minus(REPORT_INTERVAL.multipliedBy(REPORTS - i));
            interference.update(alone, now);
            interference.update(light, now);
            interference.update(heavy, now);
        }
    }

    @Test
    void headroomBesideAnInterferingImageIsPredictedLower() {
        reportMeasurements();
        WorkerState worker = workerWith("", 2.6);
        PlacementCandidate candidate = new PlacementCandidate(worker, interference, false, OwnerFixtures.NOW);
        double besideLight = candidate.predictHeadroom(OwnerFixtures.bestEffortStep("light", 1, 1_000, 1_000));
        double besideHeavy = candidate.predictHeadroom(OwnerFixtures.bestEffortStep("heavy", 1, 1_000, 1_000));
        assertThat(besideLight).isGreaterThan(2.3);
        assertThat(besideHeavy).isLessThan(1.6);
    }

    @Test
    void interferingImageIsNotPlacedBesideALoadedLatencyCriticalTask() {
        reportMeasurements();
        PlacementPolicy placement = new PlacementPolicy(new WorkerHealth(), interference);
        WorkerState busy = workerWith("", 1.7);
        Job light =
                OwnerFixtures.job("light", OwnerFixtures.bestEffortStep("light", 1, 1_000, 1_000), OwnerFixtures.NOW);
        Job heavy =
                OwnerFixtures.job("heavy", OwnerFixtures.bestEffortStep("heavy", 1, 1_000, 1_000), OwnerFixtures.NOW);
        PlacementPass pass = placement.startPass(List.of(busy), each -> true, OwnerFixtures.NOW);
        assertThat(findBest(pass, light).worker()).isSameAs(busy);
        assertThat(findBest(pass, heavy)).isNull();
    }

    private static PlacementCandidate findBest(PlacementPass pass, Job job) {
        return pass.search(job.step(0, 0)).findBest(OwnerFixtures.task(job));
    }
}
