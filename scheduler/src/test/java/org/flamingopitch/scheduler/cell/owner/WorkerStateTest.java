package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Lease expiry, incarnations and acknowledged ends of a worker. */
final class WorkerStateTest {

    private static final Duration LEASE = Duration.ofSeconds(6);

    private final WorkerState worker = OwnerFixtures.worker("w", 4_000);

    @Test
    void leaseExpiryAllowsForASlowWorkerClock() {
        worker.recordClock(10_000, OwnerFixtures.NOW);
        long end = worker.grantLease(LEASE, Instant.MAX, OwnerFixtures.NOW);
        assertThat(end).isEqualTo(16_000);
        assertThat(worker.latestLeaseExpiry()).isAfter(OwnerFixtures.NOW.plusMillis(6_122));
    }

    @Test
    void firstReportAssumesTheMaximumLeaseOfAFormerOwner() {
        assertThat(worker.latestLeaseExpiry()).isAfter(OwnerFixtures.NOW.plus(LEASE));
    }

    @Test
    void lastDurableEndAdvancesOnlyToEndsWithDurableRecords() {
        worker.recordEnd(1, 5);
        worker.recordEnd(2, 7);
        worker.markDurableUpTo(6);
        assertThat(worker.lastDurableEnd()).isEqualTo(1);
        assertThat(worker.allEndsDurable()).isFalse();
        worker.markDurableUpTo(7);
        assertThat(worker.lastDurableEnd()).isEqualTo(2);
    }

    @Test
    void newIncarnationRestartsTheEndNumbers() {
        worker.recordEnd(3, 1);
        worker.markDurableUpTo(1);
        assertThat(worker.recordReport(2, 0, LEASE, OwnerFixtures.NOW)).isTrue();
        assertThat(worker.lastDurableEnd()).isZero();
        assertThat(worker.endProcessed(1)).isFalse();
    }
}
