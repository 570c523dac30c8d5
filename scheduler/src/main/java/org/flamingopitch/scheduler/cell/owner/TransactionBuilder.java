package org.flamingopitch.scheduler.cell.owner;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;

/** Collects the writes and deletions of one transaction, within the limits of the store and of a slow link. */
final class TransactionBuilder {

    /**
     * The store accepts 32 entries per transaction; two conditions, the ledger, the former owners and the learned
     * statistics take five.
     */
    static final int MAX_RECORDS = 27;

    /** A link of 7 Mbit/s carries this, as base64, in 0.4 s, which is well within the time limit of a call. */
    static final int MAX_BYTES = 256 * 1024;

    private final List<PendingRecord> records = new ArrayList<>();

    private int bytes;

    /**
     * Adds the write of a record, unless the transaction is full; an empty one takes a record of any size.
     *
     * @return whether it was added
     */
    boolean write(JobChange change, String key, Object record) {
        String value = JsonCodec.compact().encode(record);
        int size = value.getBytes(StandardCharsets.UTF_8).length;
        boolean fits = records.isEmpty() || records.size() < MAX_RECORDS && bytes + size <= MAX_BYTES;
        if (fits) {
            bytes += size;
            records.add(new PendingRecord(change, key, value));
        }
        return fits;
    }

    /**
     * Adds deletions, unless the transaction has no space for all of them.
     *
     * @return whether they were added
     */
    boolean delete(JobChange change, String... keys) {
        boolean fits = records.size() + keys.length <= MAX_RECORDS;
        if (fits) {
            for (String key : keys) {
                records.add(new PendingRecord(change, key, null));
            }
        }
        return fits;
    }

    /** Returns the records in the order in which they were added. */
    List<PendingRecord> records() {
        return records;
    }
}
