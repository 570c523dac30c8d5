package org.flamingopitch.coordination.journal;

import java.util.List;

/**
 * The state that a journal keeps.
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
     * Returns records that rebuild the current durable state from nothing.
     *
     * @return the records of a snapshot
     */
    List<R> snapshot();

    /** What follows during recovery was written by a later owner. */
    void ownerChanged();

    /** Another process owns the partition now; nothing that is not durable yet will become so through this journal. */
    void fenced();
}
