package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Figures that cover the last half second, and tasks that start, slow down and end meanwhile. */
final class FillHistoryTest {

    private static final long CORES = 10_000;

    private static final Instant START = OwnerFixtures.NOW;

    private final WorkerState worker = OwnerFixtures.worker("w", CORES);

    private final Task task =
            OwnerFixtures.task(OwnerFixtures.job("f", OwnerFixtures.fillStep("i", 1, 2_000, 1_000), START));

    private static Instant after(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }

    private Run run() {
        Run run = task.place(worker, START);
        worker.add(run);
        return run;
    }

    private double share(Instant now) {
        return worker.shownFills(now).getOrDefault("i", 0.0);
    }

    @Test
    void taskThatHasJustStartedShowsLittle() {
        run();
        assertThat(share(after(50))).isZero();
        assertThat(share(after(350))).isCloseTo(0.1, within(0.001));
        assertThat(share(after(2_000))).isCloseTo(0.2, within(0.001));
    }

    @Test
    void taskThatWasHeldStillShowsForAWhile() {
        Run run = run();
        run.paced(0, after(2_000));
        assertThat(share(after(2_100))).isCloseTo(0.2, within(0.001));
        assertThat(share(after(2_350))).isCloseTo(0.1, within(0.001));
        assertThat(share(after(2_700))).isZero();
        assertThat(worker.changedFills(after(1_900))).containsExactly("i");
        assertThat(worker.changedFills(after(2_100))).isEmpty();
    }

    @Test
    void lateAnswerToAnOrderDoesNotBringBackATaskThatEnded() {
        Run run = run();
        run.release(after(2_000));
        run.paced(-1, after(2_300));
        assertThat(share(after(2_800))).isZero();
    }
}
