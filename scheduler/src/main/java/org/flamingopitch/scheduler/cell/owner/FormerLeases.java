package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.flamingopitch.coordination.kv.KeyValueEntry;

/**
 * Bounds the time for which leases last that former owners have extended, on workers that cannot be reached. A former
 * owner may live on, cut off from the store and from this process.
 */
final class FormerLeases {

    /**
     * How long an owner may extend leases and start tasks after the store last confirmed its ownership. A successor waits
     * as long, and then for the leases, before it treats runs on workers that it cannot reach as ended.
     */
    static final Duration MAX_UNCONFIRMED_TIME = Duration.ofSeconds(4);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Added to the latest possible expiry of the former owner's leases, as an order may wait in a buffer. */
    private static final Duration TAKEOVER_MARGIN = Duration.ofMillis(300);

    /** The clock of a worker may be 2 % slow; a former owner's clock is assumed to be at most as fast. */
    private static final long SLOWEST_CLOCK_PERCENT = 98;

    private final Instant electedAt;

    /** The longest time for which a worker may hold a lease, by the clock of this process. */
    private final Duration longestLease;

    private final BiConsumer<OwnerRecord, Consumer<Instant>> stopMonitor;

    private final Consumer<Instant> listener;

    private Instant expiry;

    /**
     * Creates the bound that holds if nothing is known of the former owners.
     *
     * @param maxLease the longest lease that a worker grants
     * @param stopMonitor is told a former owner, and passes on a time by which that one had stopped to extend leases, if
     *     it learns one
     * @param listener receives each earlier time by which all leases have expired
     */
    FormerLeases(
            Instant electedAt,
            Duration maxLease,
            BiConsumer<OwnerRecord, Consumer<Instant>> stopMonitor,
            Consumer<Instant> listener) {
        this.electedAt = electedAt;
        this.longestLease = slowestTime(maxLease);
        this.stopMonitor = stopMonitor;
        this.listener = listener;
        this.expiry = expiryAfter(electedAt.plus(MAX_UNCONFIRMED_TIME));
    }

    /** Returns a time by which all leases of former owners have expired. */
    Instant expiry() {
        return expiry;
    }

    /** Returns whether a former owner may still extend leases, if nothing is known of it. */
    boolean mayFormerOwnerAct(Instant now) {
        return now.isBefore(electedAt.plus(MAX_UNCONFIRMED_TIME));
    }

    /**
     * Waits until the owner that the ledger names has stopped. It is the last one that may have extended leases: each
     * owner commits before it does, and none can commit after this process was elected. How long leases of the owners
     * before that one may last is in the marker; the time since the marker was sent is unknown and counts as none.
     */
    void applyLedger(KeyValueEntry ledger, Instant readAt) {
        Optional<CommitMarker> marker = CommitMarker.decode(ledger.value());
        if (marker.isEmpty()) {
            LOGGER.atInfo().log("event=last_owner_unknown version=%d", ledger.version());
            return;
        }
        OwnerRecord lastOwner = marker.get().owner();
        Instant earlierExpiry = readAt.plus(slowestTime(marker.get().formerLeaseTime()));
        stopMonitor.accept(lastOwner, stoppedAt -> {
            logStopped(lastOwner, stoppedAt);
            limit(later(earlierExpiry, expiryAfter(stoppedAt)));
        });
    }

    /**
     * Applies that a former owner has stopped which the watch has shown. The claim of an owner is sent before its record
     * is seen, and it acts for {@link #MAX_UNCONFIRMED_TIME} after that at most, even if it learns late that it was
     * elected; the same holds for all owners before it.
     *
     * @param stoppedAt a time by which it had stopped
     */
    void recordStopped(FormerOwner formerOwner, Instant stoppedAt) {
        logStopped(formerOwner.owner(), stoppedAt);
        limit(expiryAfter(later(formerOwner.seenAt().plus(MAX_UNCONFIRMED_TIME), stoppedAt)));
    }

    private void logStopped(OwnerRecord formerOwner, Instant stoppedAt) {
        LOGGER.atInfo().log(
                "event=former_owner_stopped owner=%s after_election_ms=%d",
                formerOwner.process(), Duration.between(electedAt, stoppedAt).toMillis());
    }

    private void limit(Instant earlier) {
        if (earlier.isBefore(expiry)) {
            expiry = earlier;
            listener.accept(earlier);
        }
    }

    /** Returns when all leases have expired that were extended by a time. */
    private Instant expiryAfter(Instant lastExtendedAt) {
        return lastExtendedAt.plus(longestLease).plus(TAKEOVER_MARGIN);
    }

    private static Duration slowestTime(Duration time) {
        return time.multipliedBy(100).dividedBy(SLOWEST_CLOCK_PERCENT);
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }
}
