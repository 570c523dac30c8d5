package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;

/** Is notified of changes of the ownership of the cell, as an {@link Election} learns of them. */
public interface ElectionListener {

    /**
     * This process was elected as owner.
     *
     * @param version the version of the owner's key, which serves as fencing token
     */
    void elected(long version);

    /**
     * The last owner before this process is known.
     *
     * @param formerOwner the owner
     */
    void formerOwnerIdentified(FormerOwner formerOwner);

    /**
     * The last note of the last owner before this process is known.
     *
     * @param formerOwner the owner
     * @param noteSeenAt when this process first saw the note
     */
    void formerNoteIdentified(FormerOwner formerOwner, Instant noteSeenAt);

    /**
     * This process no longer owns the cell.
     *
     * @param cause the reason, for the log
     */
    void deposed(String cause);

    /** The record under the owner's key changed or was removed. */
    void ownerChanged();
}
