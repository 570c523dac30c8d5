package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** After a takeover under full load, the new owner must admit jobs at the rate at which the workers complete tasks. */
final class CompletionRateTest {

    private static final Instant START = OwnerFixtures.NOW;

    private static final long RUNNING_MILLICORES = 100_000;

    private final CompletionRate rate = new CompletionRate(START);

    private void completeSteadily(Duration time) {
        for (long millis = 100; millis <= time.toMillis(); millis += 100) {
            rate.add(RUNNING_MILLICORES * 100, START.plusMillis(millis));
        }
    }

    @Test
    void newOwnerAssumesThatRunningTasksCompleteAtTheirSpeed() {
        assertThat(rate.workPerMillisecond(RUNNING_MILLICORES, START)).isEqualTo(RUNNING_MILLICORES);
        completeSteadily(Duration.ofSeconds(2));
        assertThat(rate.workPerMillisecond(RUNNING_MILLICORES, START.plusSeconds(2)))
                .isEqualTo(RUNNING_MILLICORES);
    }

    @Test
    void measurementReplacesTheAssumption() {
        completeSteadily(Duration.ofSeconds(8));
        assertThat(rate.workPerMillisecond(0, START.plusSeconds(8)))
                .isBetween(RUNNING_MILLICORES, RUNNING_MILLICORES * 102 / 100);
        assertThat(rate.workPerMillisecond(RUNNING_MILLICORES, START.plusSeconds(20)))
                .isZero();
    }
}
