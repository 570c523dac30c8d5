package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Withholding the lease of a worker ends all its runs, so a worker that is only slow must keep it. */
final class WorkerRegistryTest {

    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(900);

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    @Test
    void leaseIsWithheldOnlyWhenAStopHasLongBeenUnanswered() {
        Job job = OwnerFixtures.job("j", OwnerFixtures.bestEffortStep("i", 1, 1_000, 60_000), OwnerFixtures.NOW);
        Run run = OwnerFixtures.run(OwnerFixtures.task(job), worker, 0);
        run.enterPhase(RunPhase.STOPPING, OwnerFixtures.NOW);
        run.setOrderOutcomeUnknown();
        for (int i = 1; i <= 3; i++) {
            run.markOrderUnanswered(OwnerFixtures.NOW.plus(ORDER_TIMEOUT.multipliedBy(i)));
        }
        assertThat(WorkerRegistry.hasUnconfirmedStop(worker, OwnerFixtures.NOW.plusSeconds(3)))
                .isFalse();
        assertThat(WorkerRegistry.hasUnconfirmedStop(worker, OwnerFixtures.NOW.plusSeconds(5)))
                .isTrue();
    }
}
