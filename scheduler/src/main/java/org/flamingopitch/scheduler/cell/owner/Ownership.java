package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Optional;

/**
 * The ownership of the cell by this process, as its commits record it.
 *
 * @param version the version of the owner's key
 * @param owner the record of this process
 * @param formerLeases bounds the leases of former owners
 */
record Ownership(long version, OwnerRecord owner, FormerLeases formerLeases) {

    /** Returns whether leases of former owners may last. */
    boolean formerLeasesMayLast(Instant now) {
        return now.isBefore(formerLeases.expiry());
    }

    /** Returns the marker of a transaction that is sent now. */
    CommitMarker marker(long transaction, Instant now) {
        return new CommitMarker(version, transaction, owner, formerLeases.remaining(now));
    }

    /** Returns the record of the former owners that the transaction with a marker writes, if there is need of one. */
    Optional<FormerOwnersRecord> formerOwners(CommitMarker marker, Instant now) {
        return formerLeases.record(marker.transactionId(), now);
    }
}
