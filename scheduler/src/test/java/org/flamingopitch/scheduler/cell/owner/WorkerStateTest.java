package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Leases, lives and ends of one worker. */
final class WorkerStateTest {

    private static final Duration LEASE = Duration.ofSeconds(6);

    private final WorkerState worker = OwnerFixtures.worker("w", 4_000);

    @Test
    void leaseIsOverOnlyWhenASlowClockHasReachedItsEnd() {
        worker.noteClock(10_000, OwnerFixtures.NOW);
        long end = worker.leaseEnd(LEASE, OwnerFixtures.NOW);
        assertThat(end).isEqualTo(16_000);
        assertThat(worker.certainLapse()).isAfter(OwnerFixtures.NOW.plusMillis(6_122));
    }

    @Test
    void firstReportCountsTheLongestLeaseOfAFormerOwner() {
        assertThat(worker.certainLapse()).isAfter(OwnerFixtures.NOW.plus(LEASE));
    }

    @Test
    void endIsAcknowledgedOnlyWhenItsRecordIsDurable() {
        worker.noteEnd(1, 5);
        worker.noteEnd(2, 7);
        worker.noteDurable(6);
        assertThat(worker.durableEnd()).isEqualTo(1);
        assertThat(worker.allEndsDurable()).isFalse();
        worker.noteDurable(7);
        assertThat(worker.durableEnd()).isEqualTo(2);
    }

    @Test
    void newLifeCountsItsEndsAnew() {
        worker.noteEnd(3, 1);
        worker.noteDurable(1);
        assertThat(worker.noteReport(2, 0, LEASE, OwnerFixtures.NOW)).isTrue();
        assertThat(worker.durableEnd()).isZero();
        assertThat(worker.alreadySeen(1)).isFalse();
    }
}
