package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Measurements cover the last half second, during which best-effort tasks may start, be paused or end. The share
 * of the worker's processor time that is attributed to a task must change with the same delay.
 */
final class BestEffortHistoryTest {

    private static final long WORKER_MILLICORES = 10_000;

    private static final Instant START = OwnerFixtures.NOW;

    private final WorkerState worker = OwnerFixtures.worker("w", WORKER_MILLICORES);

    private final Task task =
            OwnerFixtures.task(OwnerFixtures.job("f", OwnerFixtures.bestEffortStep("i", 1, 2_000, 1_000), START));

    private static Instant after(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }

    private Run startRun() {
        Run run = task.place(worker, START);
        worker.add(run);
        return run;
    }

    private double attributedShare(Instant now) {
        return worker.bestEffortShares(now).getOrDefault("i", 0.0);
    }

    @Test
    void shareOfAStartedTaskRisesWithDelay() {
        startRun();
        assertThat(attributedShare(after(50))).isZero();
        assertThat(attributedShare(after(350))).isCloseTo(0.1, within(0.001));
        assertThat(attributedShare(after(2_000))).isCloseTo(0.2, within(0.001));
    }

    @Test
    void shareOfAPausedTaskFallsWithDelay() {
        Run run = startRun();
        run.setThrottledToPercent(0, after(2_000));
        assertThat(attributedShare(after(2_100))).isCloseTo(0.2, within(0.001));
        assertThat(attributedShare(after(2_350))).isCloseTo(0.1, within(0.001));
        assertThat(attributedShare(after(2_700))).isZero();
        assertThat(worker.bestEffortImagesChangedSince(after(1_900))).containsExactly("i");
        assertThat(worker.bestEffortImagesChangedSince(after(2_100))).isEmpty();
    }

    /** Runs have no hash code of their own, so each repetition would iterate over a hash set of them in another order. */
    @Test
    void sumOfSharesDoesNotDependOnTheIdentityOfTheRuns() {
        Set<Double> sums = new HashSet<>();
        for (int repetition = 0; repetition < 200; repetition++) {
            WorkerState shared = OwnerFixtures.worker("w", WORKER_MILLICORES);
            for (long milliCores : List.of(1_111L, 777L, 3_333L, 123L, 59L, 1_457L)) {
                Job job = OwnerFixtures.job(
                        "j" + milliCores, OwnerFixtures.bestEffortStep("i", 1, milliCores, 1_000), START);
                shared.add(OwnerFixtures.task(job).place(shared, START));
            }
            sums.add(shared.bestEffortShares(after(311)).get("i"));
        }
        assertThat(sums).hasSize(1);
    }

    @Test
    void lateAnswerToAThrottleOrderDoesNotRestoreTheShareOfAnEndedTask() {
        Run run = startRun();
        run.release(after(2_000));
        run.setThrottledToPercent(-1, after(2_300));
        assertThat(attributedShare(after(2_800))).isZero();
    }
}
