package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/**
 * A latency-critical run slightly over its response time target: single imprecise measurements below the target must
 * not reset the time for which it counts as possibly over the target.
 */
final class RunTargetTest {

    private static final double TARGET_MILLIS = 40;

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(350);

    private final WorkerState worker = OwnerFixtures.worker("w", 10_000);

    private final Run run = OwnerFixtures.run(
            OwnerFixtures.task(OwnerFixtures.job(
                    "s", OwnerFixtures.latencyCriticalStep("web", 4_000, TARGET_MILLIS), OwnerFixtures.NOW)),
            worker,
            TARGET_MILLIS / 2);

    private Instant observe(double... headrooms) {
        Instant now = OwnerFixtures.NOW;
        for (double headroom : headrooms) {
            now = now.plus(REPORT_INTERVAL);
            run.observe(100, TARGET_MILLIS / headroom, now);
        }
        return now;
    }

    @Test
    void measurementsAroundTheTargetKeepTheRunPossiblyOverTarget() {
        Instant now = observe(0.9, 1.1, 0.95, 1.2, 0.9, 1.1);
        assertThat(run.possiblyOverTargetFor(Duration.ofMillis(1_500), now)).isTrue();
        assertThat(run.overTargetFor(Duration.ofMillis(250), now)).isFalse();
    }

    @Test
    void headroomOfMoreThanTheUpperThresholdEndsPossiblyOverTarget() {
        Instant now = observe(0.9, 0.9, 0.9, 0.9, 0.9, 1.4);
        assertThat(run.possiblyOverTargetFor(Duration.ZERO, now)).isFalse();
    }

    @Test
    void headroomBetweenTheThresholdsDoesNotStartPossiblyOverTarget() {
        Instant now = observe(1.2, 1.2, 1.2, 1.2, 1.2, 1.2);
        assertThat(run.possiblyOverTargetFor(Duration.ZERO, now)).isFalse();
    }
}
