package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Lease expiry, incarnations and acknowledged ends of a worker. */
final class WorkerStateTest {

    private static final Duration LEASE = Duration.ofSeconds(6);

    private final WorkerState worker = OwnerFixtures.worker("w", 4_000);

    @Test
    void leaseExpiryAllowsForASlowWorkerClock() {
        worker.recordClock(10_000, OwnerFixtures.NOW);
        long end = worker.grantLease(LEASE, OwnerFixtures.NOW);
        assertThat(end).isEqualTo(16_000);
        assertThat(worker.latestLeaseExpiry()).isAfter(OwnerFixtures.NOW.plusMillis(6_122));
    }

    @Test
    void firstReportAssumesTheMaximumLeaseOfAFormerOwner() {
        assertThat(worker.latestLeaseExpiry()).isAfter(OwnerFixtures.NOW.plus(LEASE));
    }

    @Test
    void lastDurableEndAdvancesOnlyToEndsWithDurableRecords() {
        worker.ends().record(1, 5);
        worker.ends().record(2, 7);
        worker.ends().markDurableUpTo(6);
        assertThat(worker.ends().lastDurable()).isEqualTo(1);
        assertThat(worker.ends().allDurable()).isFalse();
        worker.ends().markDurableUpTo(7);
        assertThat(worker.ends().lastDurable()).isEqualTo(2);
    }

    @Test
    void newIncarnationRestartsTheEndNumbers() {
        worker.ends().record(3, 1);
        worker.ends().markDurableUpTo(1);
        assertThat(worker.recordReport(2, 0, LEASE, OwnerFixtures.NOW)).isTrue();
        assertThat(worker.ends().lastDurable()).isZero();
        assertThat(worker.ends().processed(1)).isFalse();
    }
}
