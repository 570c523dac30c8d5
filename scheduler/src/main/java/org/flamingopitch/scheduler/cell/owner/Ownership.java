package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * The ownership of the cell by this process, as its commits record it.
 *
 * @param version the version of the owner's key
 * @param owner the record of this process
 * @param formerLeaseExpiry supplies when all leases of former owners have expired
 */
record Ownership(long version, OwnerRecord owner, Supplier<Instant> formerLeaseExpiry) {

    /** Returns whether leases of former owners may last. */
    boolean formerLeasesMayLast(Instant now) {
        return now.isBefore(formerLeaseExpiry.get());
    }

    /** Returns the marker of a transaction that is sent now. */
    CommitMarker marker(long transaction, Instant now) {
        Instant expiry = formerLeaseExpiry.get();
        // Rounded up, as a successor waits for this time.
        Duration remaining =
                now.isBefore(expiry) ? Duration.between(now, expiry).plusMillis(1) : Duration.ZERO;
        return new CommitMarker(version, transaction, owner, remaining);
    }
}
