package org.flamingopitch.scheduler.cell.owner;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.kv.KeyValueRequest;

/** Collects the writes and deletions of one transaction, within the limits of the store and of a slow link. */
final class TransactionBuilder {

    /** The store accepts 32 entries per transaction; two conditions, the ledger and the learned statistics take four. */
    static final int MAX_RECORDS = 28;

    /** A link of 7 Mbit/s carries this, as base64, in 0.4 s, which is well within the time limit of a call. */
    static final int MAX_BYTES = 256 * 1024;

    private final List<KeyValueRequest.Write> writes = new ArrayList<>();

    private final List<String> deletions = new ArrayList<>();

    private int bytes;

    /**
     * Adds the write of a record, unless the transaction is full; an empty one takes a record of any size.
     *
     * @return whether it was added
     */
    boolean write(String key, Object record) {
        String value = JsonCodec.compact().encode(record);
        int size = value.getBytes(StandardCharsets.UTF_8).length;
        boolean fits = recordCount() < MAX_RECORDS && (recordCount() == 0 || bytes + size <= MAX_BYTES);
        if (fits) {
            bytes += size;
            writes.add(new KeyValueRequest.Write(key, value, null));
        }
        return fits;
    }

    /**
     * Adds deletions, unless the transaction has no space for all of them.
     *
     * @return whether they were added
     */
    boolean delete(String... keys) {
        boolean fits = recordCount() + keys.length <= MAX_RECORDS;
        if (fits) {
            deletions.addAll(List.of(keys));
        }
        return fits;
    }

    int recordCount() {
        return writes.size() + deletions.size();
    }

    List<KeyValueRequest.Write> writes() {
        return writes;
    }

    List<String> deletions() {
        return deletions;
    }
}
