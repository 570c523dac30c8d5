package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Load: a serving task a little over its target, whose rough figures show it under the target now and then. */
final class PressedRunTest {

    private static final double TARGET = 40;

    private static final Duration GAP = Duration.ofMillis(350);

    private final WorkerState worker = OwnerFixtures.worker("w", 10_000);

    private final Run serving = OwnerFixtures.run(
            OwnerFixtures.task(
                    OwnerFixtures.job("s", OwnerFixtures.servingStep("web", 4_000, TARGET), OwnerFixtures.NOW)),
            worker,
            TARGET / 2);

    private Instant observe(double... slacks) {
        Instant now = OwnerFixtures.NOW;
        for (double slack : slacks) {
            now = now.plus(GAP);
            serving.observe(100, TARGET / slack, now);
        }
        return now;
    }

    @Test
    void roughFiguresAroundTheTargetDoNotHideThatItIsOver() {
        Instant now = observe(0.9, 1.1, 0.95, 1.2, 0.9, 1.1);
        assertThat(serving.pressedFor(Duration.ofMillis(1_500), now)).isTrue();
        assertThat(serving.missedFor(Duration.ofMillis(250), now)).isFalse();
    }

    @Test
    void clearFigureEndsIt() {
        Instant now = observe(0.9, 0.9, 0.9, 0.9, 0.9, 1.4);
        assertThat(serving.pressedFor(Duration.ZERO, now)).isFalse();
    }

    @Test
    void figureJustUnderTheTargetAloneIsNoAlarm() {
        Instant now = observe(1.2, 1.2, 1.2, 1.2, 1.2, 1.2);
        assertThat(serving.pressedFor(Duration.ZERO, now)).isFalse();
    }
}
