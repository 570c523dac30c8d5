package org.flamingopitch.coordination.journal;

import java.util.List;

/**
 * The state of a partition that a journal makes durable.
 *
 * @param <R> the type of the records
 */
public interface JournalState<R> {

    /**
     * Applies a record that was read back during recovery.
     *
     * @param record the record
     */
    void replay(R record);

    /**
     * Returns records that rebuild the current durable state when they are replayed into an empty one.
     *
     * @return the records of a snapshot
     */
    List<R> snapshot();

    /**
     * Called during recovery before the first segment of each epoch: the records that follow come from another owner.
     */
    void onEpochStart();

    /** Called when a later owner of the partition is found; the journal is closed and makes no more records durable. */
    void onFenced();
}
