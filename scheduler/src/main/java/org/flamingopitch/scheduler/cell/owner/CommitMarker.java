package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.util.Optional;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The value of the ledger entry: identifies the last transaction and, to a successor, the owner that committed it. An
 * owner extends no lease before its first commit, so the owner that is named here is the last one that may have.
 *
 * @param ownerVersion the version of the owner's key under which the transaction was committed
 * @param transaction the number of the transaction under this version
 * @param owner the owner; its processor time is not recorded
 * @param formerLeaseTime how long after the transaction was sent, by the owner's clock, leases that owners before it
 *     have extended may last
 */
record CommitMarker(long ownerVersion, long transaction, OwnerRecord owner, Duration formerLeaseTime) {

    private static final String SEPARATOR = " ";

    private static final int FIELDS = 4;

    /** Returns the value of the ledger entry. The process comes last, as its id may contain separators. */
    String encode() {
        return String.join(
                SEPARATOR,
                transactionId(),
                Long.toString(formerLeaseTime.toMillis()),
                owner.address(),
                owner.process().value());
    }

    /** Returns what identifies the transaction among those of all owners. */
    String transactionId() {
        return ownerVersion + "." + transaction;
    }

    /**
     * Decodes the value of the ledger entry.
     *
     * @return the marker, or nothing if the value does not name its owner, such as one of an earlier version
     */
    static Optional<CommitMarker> decode(String value) {
        String[] fields = value.split(SEPARATOR, FIELDS);
        if (fields.length < FIELDS || fields[2].isEmpty()) {
            return Optional.empty();
        }
        try {
            int dot = fields[0].indexOf('.');
            long ownerVersion = Long.parseLong(fields[0].substring(0, Math.max(dot, 0)));
            long transaction = Long.parseLong(fields[0].substring(dot + 1));
            Duration formerLeaseTime = Duration.ofMillis(Long.parseLong(fields[1]));
            OwnerRecord owner = new OwnerRecord(new ProcessId(fields[FIELDS - 1]), fields[2], 0);
            return formerLeaseTime.isNegative()
                    ? Optional.empty()
                    : Optional.of(new CommitMarker(ownerVersion, transaction, owner, formerLeaseTime));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
