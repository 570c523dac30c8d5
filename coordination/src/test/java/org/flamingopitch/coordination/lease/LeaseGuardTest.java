package org.flamingopitch.coordination.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The guard is valid only within a lease that the store still keeps, whatever the delays of renewals are. */
final class LeaseGuardTest {

    private static final Duration TIME_TO_LIVE = Duration.ofMillis(2_400);

    private static final Duration MARGIN = Duration.ofMillis(200);

    private static final Instant START = Instant.parse("2026-01-05T06:00:00Z");

    @Property(seed = "20260105")
    void endsBeforeTheStoresLease(
            @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 3_000) Integer> gaps,
            @ForAll @IntRange(max = 600) int delayMillis,
            @ForAll @IntRange(max = 9_000) int probeMillis) {
        LeaseGuard guard = new LeaseGuard(MARGIN);
        Instant sentAt = START;
        Instant storeEnd = START;
        for (int gap : gaps) {
            sentAt = sentAt.plusMillis(gap);
            guard.renewed(sentAt, TIME_TO_LIVE);
            storeEnd = sentAt.plusMillis(delayMillis).plus(TIME_TO_LIVE);
        }
        Instant probe = START.plusMillis(probeMillis);
        if (guard.validAt(probe)) {
            assertThat(probe).isBefore(storeEnd);
        }
    }

    @Property(seed = "20260105")
    void isNeverValidAfterItsEnd(@ForAll @IntRange(max = 5_000) int probeMillis) {
        LeaseGuard guard = new LeaseGuard(MARGIN);
        guard.renewed(START, TIME_TO_LIVE);
        guard.end();
        assertThat(guard.validAt(START.plusMillis(probeMillis))).isFalse();
    }
}
