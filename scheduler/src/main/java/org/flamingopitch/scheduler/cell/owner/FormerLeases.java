package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.ProcessId;
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

    /** The former owners that the ledger names, each with a time by which its leases have expired. */
    private final Map<ProcessId, NamedOwner> namedOwners = new LinkedHashMap<>();

    /** A time by which the leases have expired of the former owners that are not named. */
    private Instant otherExpiry;

    /** A time by which the leases of all former owners have expired, whatever is known of each. */
    private Instant commonExpiry;

    /** The time that the listener has last received. */
    private Instant reportedExpiry;

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
        this.commonExpiry = expiryAfter(electedAt.plus(MAX_UNCONFIRMED_TIME));
        this.otherExpiry = commonExpiry;
        this.reportedExpiry = commonExpiry;
    }

    /** Returns a time by which all leases of former owners have expired. */
    Instant expiry() {
        Instant latest = namedOwners.values().stream().map(NamedOwner::expiry).reduce(otherExpiry, FormerLeases::later);
        return earlier(latest, commonExpiry);
    }

    /** Returns whether a former owner may still extend leases, if nothing is known of it. */
    boolean mayFormerOwnerAct(Instant now) {
        return now.isBefore(electedAt.plus(MAX_UNCONFIRMED_TIME));
    }

    /**
     * Waits until the owners that the ledger names have stopped. The owner of the last commit is the last one that may
     * have extended leases: each owner commits before it does, and none can commit after this process was elected. How
     * long leases of the owners before it may last is in the marker, and for each of those in the record beside it; the
     * time since the transaction was sent is unknown and counts as none. That record is ignored unless the last
     * transaction wrote it, as an owner of an earlier version leaves it unchanged.
     */
    void applyLedger(KeyValueEntry ledger, Optional<KeyValueEntry> formerOwners, Instant readAt) {
        Optional<CommitMarker> marker = CommitMarker.decode(ledger.value());
        if (marker.isEmpty()) {
            LOGGER.atInfo().log("event=last_owner_unknown version=%d", ledger.version());
            return;
        }
        Optional<FormerOwnersRecord> known =
                formerOwners.flatMap(entry -> decode(entry, marker.get().transactionId()));
        Duration otherTime = known.map(each -> Duration.ofMillis(each.otherLeaseMillis()))
                .orElse(marker.get().formerLeaseTime());
        otherExpiry = expiryAfterReading(readAt, otherTime);
        known.ifPresent(record -> record.owners()
                .forEach(
                        each -> name(each.owner(), expiryAfterReading(readAt, Duration.ofMillis(each.leaseMillis())))));
        name(marker.get().owner(), commonExpiry);
        logBounds("ledger_read");
        report();
        for (NamedOwner each : List.copyOf(namedOwners.values())) {
            stopMonitor.accept(each.owner(), stoppedAt -> recordNamedOwnerStopped(each.owner(), stoppedAt));
        }
    }

    private static Optional<FormerOwnersRecord> decode(KeyValueEntry entry, String transactionId) {
        try {
            return Optional.of(FormerOwnersRecord.decode(entry.value()))
                    .filter(record -> record.transaction().equals(transactionId));
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().log(
                    "event=former_owners_unreadable version=%d detail=\"%s\"", entry.version(), e.getMessage());
            return Optional.empty();
        }
    }

    private void name(OwnerRecord owner, Instant leaseExpiry) {
        namedOwners.merge(owner.process(), new NamedOwner(owner, leaseExpiry), NamedOwner::withLaterExpiry);
    }

    /**
     * Applies that a former owner has stopped which the watch has shown. The claim of an owner is sent before its record
     * is seen, and it acts for {@link #MAX_UNCONFIRMED_TIME} after that at most, even if it learns late that it was
     * elected; the same holds for all owners before it.
     *
     * @param stoppedAt a time by which it had stopped
     */
    void recordStopped(FormerOwner formerOwner, Instant stoppedAt) {
        Instant lastExtendedAt = later(formerOwner.seenAt().plus(MAX_UNCONFIRMED_TIME), stoppedAt);
        commonExpiry = earlier(commonExpiry, expiryAfter(lastExtendedAt));
        logStopped(formerOwner.owner(), stoppedAt);
        report();
    }

    private void recordNamedOwnerStopped(OwnerRecord formerOwner, Instant stoppedAt) {
        Instant leaseExpiry = expiryAfter(stoppedAt);
        namedOwners.computeIfPresent(formerOwner.process(), (id, named) -> named.withEarlierExpiry(leaseExpiry));
        logStopped(formerOwner, stoppedAt);
        report();
    }

    /**
     * Returns what a successor of this process needs to know of the former owners if it reads a transaction that is sent
     * now, or nothing if the ledger entry says all.
     */
    Optional<FormerOwnersRecord> record(String transactionId, Instant now) {
        List<NamedOwner> lasting = new ArrayList<>(namedOwners.values().stream()
                .filter(each -> now.isBefore(bounded(each.expiry())))
                .sorted(Comparator.comparing(NamedOwner::expiry).reversed())
                .toList());
        if (lasting.isEmpty()) {
            return Optional.empty();
        }
        Instant unnamedExpiry = bounded(otherExpiry);
        while (lasting.size() > FormerOwnersRecord.MAX_OWNERS) {
            unnamedExpiry = later(
                    unnamedExpiry, bounded(lasting.remove(lasting.size() - 1).expiry()));
        }
        List<FormerOwnersRecord.Entry> entries = lasting.stream()
                .map(each -> new FormerOwnersRecord.Entry(
                        each.owner(), remaining(bounded(each.expiry()), now).toMillis()))
                .toList();
        return Optional.of(new FormerOwnersRecord(
                transactionId, remaining(unnamedExpiry, now).toMillis(), entries));
    }

    /** Returns how long leases of former owners may last from now. */
    Duration remaining(Instant now) {
        return remaining(expiry(), now);
    }

    /** Rounded up, as a successor waits for this time. */
    private static Duration remaining(Instant end, Instant now) {
        return now.isBefore(end) ? Duration.between(now, end).plusMillis(1) : Duration.ZERO;
    }

    private Instant bounded(Instant leaseExpiry) {
        return earlier(leaseExpiry, commonExpiry);
    }

    private void logStopped(OwnerRecord formerOwner, Instant stoppedAt) {
        LOGGER.atInfo().log(
                "event=former_owner_stopped owner=%s after_election_ms=%d",
                formerOwner.process(), afterElection(stoppedAt));
        logBounds("owner_stopped");
    }

    /** Logs the terms of the bound, so that a log shows for which former owner this process waits. */
    private void logBounds(String cause) {
        LOGGER.atInfo().log(
                "event=former_lease_bound cause=%s after_election_ms=%d common_ms=%d others_ms=%d owners=%s",
                cause,
                afterElection(expiry()),
                afterElection(commonExpiry),
                afterElection(otherExpiry),
                namedOwners.values().stream()
                        .map(each -> each.owner().process() + ":" + afterElection(each.expiry()))
                        .toList());
    }

    private long afterElection(Instant time) {
        return Duration.between(electedAt, time).toMillis();
    }

    private void report() {
        Instant now = expiry();
        if (now.isBefore(reportedExpiry)) {
            reportedExpiry = now;
            listener.accept(now);
        }
    }

    private Instant expiryAfterReading(Instant readAt, Duration leaseTime) {
        return earlier(commonExpiry, readAt.plus(slowestTime(leaseTime)));
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

    private static Instant earlier(Instant one, Instant other) {
        return one.isBefore(other) ? one : other;
    }

    /**
     * A former owner that the ledger names.
     *
     * @param owner its record
     * @param expiry a time by which its leases have expired
     */
    private record NamedOwner(OwnerRecord owner, Instant expiry) {

        private NamedOwner withLaterExpiry(NamedOwner other) {
            return new NamedOwner(owner, later(expiry, other.expiry));
        }

        private NamedOwner withEarlierExpiry(Instant other) {
            return new NamedOwner(owner, earlier(expiry, other));
        }
    }
}
