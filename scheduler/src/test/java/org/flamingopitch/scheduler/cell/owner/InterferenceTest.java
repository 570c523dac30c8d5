package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Load: two images that fill, of which one slows the serving tasks beside it ten times as much as the other. */
final class InterferenceTest {

    private static final double TARGET = 40;

    private static final int REPORTS = 20;

    private static final Duration REPORT_GAP = Duration.ofMillis(400);

    private final Interference interference = new Interference();

    private WorkerState workerWith(String image, double slack) {
        WorkerState worker = OwnerFixtures.worker("w-" + image, 10_000);
        Job serving =
                OwnerFixtures.job("s" + image, OwnerFixtures.servingStep("web", 4_000, TARGET), OwnerFixtures.NOW);
        OwnerFixtures.run(OwnerFixtures.task(serving), worker, TARGET / slack);
        if (!image.isEmpty()) {
            Job fill =
                    OwnerFixtures.job("f" + image, OwnerFixtures.fillStep(image, 1, 1_000, 1_000), OwnerFixtures.NOW);
            OwnerFixtures.run(OwnerFixtures.task(fill), worker, 1_000);
        }
        return worker;
    }

    private void learn() {
        WorkerState alone = workerWith("", 2.6);
        WorkerState light = workerWith("light", 2.5);
        WorkerState heavy = workerWith("heavy", 1.2);
        for (int i = 0; i < REPORTS; i++) {
            Instant now = OwnerFixtures.NOW.minus(REPORT_GAP.multipliedBy(REPORTS - i));
            interference.learn(alone, now);
            interference.learn(light, now);
            interference.learn(heavy, now);
        }
    }

    @Test
    void predictsLessSlackBesideTheHeavyImage() {
        learn();
        WorkerState worker = workerWith("", 2.6);
        WorkerView view = new WorkerView(worker, interference, OwnerFixtures.NOW);
        double besideLight = view.predict(OwnerFixtures.fillStep("light", 1, 1_000, 1_000));
        double besideHeavy = view.predict(OwnerFixtures.fillStep("heavy", 1, 1_000, 1_000));
        assertThat(besideLight).isGreaterThan(2.3);
        assertThat(besideHeavy).isLessThan(1.6);
    }

    @Test
    void placementKeepsTheHeavyImageAwayFromABusyServingTask() {
        learn();
        Placement placement = new Placement(new WorkerHealth(), interference);
        WorkerState busy = workerWith("", 1.7);
        Job light = OwnerFixtures.job("light", OwnerFixtures.fillStep("light", 1, 1_000, 1_000), OwnerFixtures.NOW);
        Job heavy = OwnerFixtures.job("heavy", OwnerFixtures.fillStep("heavy", 1, 1_000, 1_000), OwnerFixtures.NOW);
        PlacingPass pass = placement.begin(List.of(busy), each -> true, OwnerFixtures.NOW);
        assertThat(best(pass, light).worker()).isSameAs(busy);
        assertThat(best(pass, heavy)).isNull();
    }

    private static WorkerView best(PlacingPass pass, Job job) {
        return pass.search(job.step(0, 0)).best(OwnerFixtures.task(job));
    }
}
