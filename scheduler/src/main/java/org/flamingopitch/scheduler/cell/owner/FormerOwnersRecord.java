package org.flamingopitch.scheduler.cell.owner;

import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;

/**
 * The record beside the ledger entry that names the former owners of which the owner did not know that their leases had
 * expired, so that its successor can learn when each of them had stopped. The ledger entry only has the longest of these
 * times. It is written in the same transaction; processes of an earlier version neither read nor write it.
 *
 * @param transaction the transaction that wrote it, as the ledger entry identifies it; the record counts only if the
 *     ledger entry names the same one
 * @param otherLeaseMillis how long after the transaction was sent, by the owner's clock, leases may last that owners
 *     have extended which are not named here
 * @param owners the former owners
 */
record FormerOwnersRecord(String transaction, long otherLeaseMillis, List<Entry> owners) {

    /** The most owners that are named; the leases of further ones count as those of other owners. */
    static final int MAX_OWNERS = 8;

    /** Rejects a record without a transaction or with a negative time. */
    FormerOwnersRecord {
        if (transaction == null || otherLeaseMillis < 0) {
            throw new IllegalArgumentException("no transaction or a negative time");
        }
        owners = List.copyOf(owners);
    }

    String encode() {
        return JsonCodec.json().encode(this);
    }

    /**
     * Decodes the value of the entry.
     *
     * @throws IllegalArgumentException if the value is not such a record
     */
    static FormerOwnersRecord decode(String value) {
        return JsonCodec.json().decode(value, FormerOwnersRecord.class);
    }

    /**
     * A former owner.
     *
     * @param owner its record
     * @param leaseMillis how long after the transaction was sent, by the owner's clock, its leases may last
     */
    record Entry(OwnerRecord owner, long leaseMillis) {

        /** Rejects an entry without an owner or with a negative time. */
        Entry {
            if (owner == null || leaseMillis < 0) {
                throw new IllegalArgumentException("no owner or a negative time");
            }
        }
    }
}
