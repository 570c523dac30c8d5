package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;

/**
 * Bounds the leases of workers, as an owner may extend them and as its successor has to assume them. The successor treats
 * runs on workers that it cannot reach as ended when all leases have expired.
 */
final class LeaseBounds {

    /**
     * How long an owner may start tasks after the store last confirmed its ownership. Owners of versions without notes
     * also extend leases for as long.
     */
    static final Duration MAX_UNCONFIRMED_TIME = Duration.ofSeconds(4);

    /**
     * The latest end of a lease after the owner sent its last confirmed note, if the worker's clock is right. With a
     * longer time, work survives longer outages of the store; with a shorter one, tasks of workers that are lost together
     * with the owner start again sooner.
     */
    private static final Duration MAX_LEASE_AFTER_NOTE = Duration.ofMillis(7_300);

    /** Added to the latest possible expiry, as an order may wait in a buffer and hosts' clocks run apart. */
    private static final Duration TAKEOVER_MARGIN = Duration.ofMillis(300);

    /** The longest time for which a worker may hold a lease, by the clock of this process. */
    private final Duration longestLease;

    /**
     * Creates the bounds.
     *
     * @param maxLease the longest lease that a worker grants, on its clock
     */
    LeaseBounds(Duration maxLease) {
        longestLease = onSlowClock(maxLease);
    }

    /** Returns the longest time that a worker takes for a time on its clock, which may be 2 % slow. */
    private static Duration onSlowClock(Duration time) {
        return time.multipliedBy(100).dividedBy(98);
    }

    /**
     * Returns until when an owner may extend leases.
     *
     * @param notedAt when it sent its last confirmed note, {@link Instant#MIN} for none
     */
    static Instant extensionLimit(Instant notedAt) {
        return notedAt.equals(Instant.MIN) ? notedAt : notedAt.plus(MAX_LEASE_AFTER_NOTE);
    }

    /** Returns when the leases of all owners have expired that had lost the owner's key at a given time. */
    Instant expiryAfterLoss(Instant lostAt) {
        return expiry(lostAt.plus(MAX_UNCONFIRMED_TIME).plus(longestLease));
    }

    /**
     * Returns when the leases of a former owner that has stopped, and of all owners before it, have expired. The claim of
     * an owner is sent before its record is seen, and an owner without notes acts for {@link #MAX_UNCONFIRMED_TIME} after
     * that at most, even if it learns late that it was elected; the same holds for all owners before it.
     *
     * @param formerOwner an owner that has been found not to own the cell any more
     */
    Instant expiryAfterStop(FormerOwner formerOwner, Instant now) {
        Instant lastActAt = formerOwner.seenAt().plus(MAX_UNCONFIRMED_TIME);
        Instant stoppedAt = lastActAt.isAfter(now) ? lastActAt : now;
        return expiry(stoppedAt.plus(longestLease));
    }

    /**
     * Returns when the leases of the last owner, and of all owners before it, have expired. The owners before it may have
     * written no notes; they had lost the owner's key when its record was seen.
     *
     * @param formerOwner the last owner
     * @param noteSeenAt when its last note was seen
     */
    Instant expiryAfterNote(FormerOwner formerOwner, Instant noteSeenAt) {
        Instant latest = expiry(noteSeenAt.plus(onSlowClock(MAX_LEASE_AFTER_NOTE)));
        Instant earlierOwners = expiryAfterLoss(formerOwner.seenAt());
        return earlierOwners.isAfter(latest) ? earlierOwners : latest;
    }

    private static Instant expiry(Instant latest) {
        return latest.plus(TAKEOVER_MARGIN);
    }
}
