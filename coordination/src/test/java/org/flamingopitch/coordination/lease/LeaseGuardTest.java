package org.flamingopitch.coordination.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The guard is valid only before the lease expires in the store, however long the renewal requests take to arrive. */
final class LeaseGuardTest {

    private static final Duration TIME_TO_LIVE = Duration.ofMillis(2_400);

    private static final Duration MARGIN = Duration.ofMillis(200);

    private static final Instant START = Instant.parse("2026-01-05T06:00:00Z");

    @Property(seed = "20260105")
    void isInvalidOnceTheLeaseHasExpiredInTheStore(
            @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 3_000) Integer> intervalsMillis,
            @ForAll @IntRange(max = 600) int transitMillis,
            @ForAll @IntRange(max = 9_000) int checkedAfterMillis) {
        LeaseGuard guard = new LeaseGuard(MARGIN);
        Instant sentAt = START;
        Instant storeExpiry = START;
        for (int intervalMillis : intervalsMillis) {
            sentAt = sentAt.plusMillis(intervalMillis);
            guard.extend(sentAt, TIME_TO_LIVE);
            storeExpiry = sentAt.plusMillis(transitMillis).plus(TIME_TO_LIVE);
        }
        Instant checkedAt = START.plusMillis(checkedAfterMillis);
        if (guard.validAt(checkedAt)) {
            assertThat(checkedAt).isBefore(storeExpiry);
        }
    }

    @Property(seed = "20260105")
    void isInvalidAfterEnd(@ForAll @IntRange(max = 5_000) int checkedAfterMillis) {
        LeaseGuard guard = new LeaseGuard(MARGIN);
        guard.extend(START, TIME_TO_LIVE);
        guard.end();
        assertThat(guard.validAt(START.plusMillis(checkedAfterMillis))).isFalse();
    }
}
