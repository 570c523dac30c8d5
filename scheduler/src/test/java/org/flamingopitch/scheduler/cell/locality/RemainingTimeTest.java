package org.flamingopitch.scheduler.cell.locality;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Remaining times of runs that are expected to take one second. */
final class RemainingTimeTest {

    private static long estimate(long elapsedMillis, double percent, long sinceProgressMillis) {
        return RemainingTime.estimate(
                        Duration.ofMillis(elapsedMillis),
                        Duration.ofSeconds(1),
                        percent,
                        Duration.ofMillis(sinceProgressMillis))
                .toMillis();
    }

    @Test
    void runWithoutProgressEndsAfterItsExpectedDuration() {
        assertThat(estimate(300, 0, 300)).isEqualTo(700);
    }

    @Test
    void overdueRunIsExpectedToTakeLongerTheLaterItIs() {
        assertThat(estimate(1_010, 0, 1_010)).isEqualTo(100);
        assertThat(estimate(3_000, 0, 3_000)).isEqualTo(2_000);
    }

    @Test
    void runThatResumedFromACheckpointEndsEarlier() {
        assertThat(estimate(200, 80, 50)).isEqualTo(150);
    }

    @Test
    void overdueRunIsExpectedToGoOnAtItsRate() {
        assertThat(estimate(3_000, 50, 0)).isEqualTo(3_000);
    }
}
