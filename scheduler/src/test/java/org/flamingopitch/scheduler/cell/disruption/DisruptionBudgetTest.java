package org.flamingopitch.scheduler.cell.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests when a long-running task that is at work may be stopped. */
final class DisruptionBudgetTest {

    private final DisruptionBudget budget = new DisruptionBudget();

    private boolean permits(int unavailable, int unreported, int maxUnavailable) {
        return budget.permits(new StepAvailability(unavailable, unreported, maxUnavailable));
    }

    /** A limit that is compared wrongly takes down one task too many. */
    @Test
    void stopIsPermittedWhileFewerTasksAreDownThanTheStepPermits() {
        assertThat(permits(0, 0, 1)).isTrue();
        assertThat(permits(1, 0, 1)).isFalse();
        assertThat(permits(1, 0, 2)).isTrue();
        assertThat(permits(3, 0, 2)).isFalse();
    }

    @Test
    void stepWithoutLimitIsNeverHeldUp() {
        assertThat(permits(5, 0, 0)).isTrue();
        assertThat(permits(5, 5, 0)).isTrue();
    }

    /** After a takeover the runs that no report has listed may be down. */
    @Test
    void noStopIsPermittedUntilAllRecordedRunsAreReported() {
        assertThat(permits(1, 1, 10)).isFalse();
        assertThat(permits(1, 0, 10)).isTrue();
    }

    @Test
    void drainingWorkerEndsSoonByItsRemainingTimeOrAfterTwoSecondsWithoutOne() {
        Duration shortTime = Duration.ofMillis(1_499);
        Duration longTime = Duration.ofMillis(1_500);
        assertThat(budget.endsSoon(Optional.of(shortTime), Duration.ZERO)).isTrue();
        assertThat(budget.endsSoon(Optional.of(longTime), Duration.ofSeconds(60)))
                .isFalse();
        assertThat(budget.endsSoon(Optional.of(Duration.ofMillis(-1)), Duration.ZERO))
                .isTrue();
        assertThat(budget.endsSoon(Optional.empty(), Duration.ofMillis(1_999))).isFalse();
        assertThat(budget.endsSoon(Optional.empty(), Duration.ofMillis(2_000))).isTrue();
    }
}
