package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Optional;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.kv.KeyValueEntry;

/** Determines from the records seen under the owner's key which process was the last owner before this one. */
final class FormerOwnerTracker {

    private final OwnerRecord self;

    /** The last other owner that was seen, or null. */
    private FormerOwner lastOther;

    private int lastOtherLists;

    private long ownVersion;

    private int ownLists;

    FormerOwnerTracker(OwnerRecord self) {
        this.self = self;
    }

    /**
     * Records an entry with an owner's record.
     *
     * @param readAhead whether the entry was read before the watch has shown all changes up to it
     * @param completeLists how often all keys have been read instead of their changes
     */
    void record(KeyValueEntry entry, boolean readAhead, int completeLists, Instant now) {
        OwnerRecord owner = JsonCodec.compact().decode(entry.value(), OwnerRecord.class);
        if (owner.process().equals(self.process())) {
            ownVersion = readAhead ? 0 : entry.version();
            ownLists = completeLists;
        } else {
            lastOther = new FormerOwner(owner, entry.version(), now);
            lastOtherLists = completeLists;
        }
    }

    /**
     * Records that the key still has a version after all keys have been read instead of their changes. If it is the last
     * other owner's record, no owner was missed in between.
     *
     * @param presentVersion the version of the present record under the owner's key
     * @param completeLists how often all keys have been read instead of their changes
     */
    void recordUnchanged(long presentVersion, int completeLists) {
        if (lastOther != null && lastOther.version() == presentVersion) {
            lastOtherLists = completeLists;
        }
    }

    /** Forgets the last other owner, since this process was an owner after it. */
    void reset() {
        lastOther = null;
    }

    /**
     * Returns the last owner before this process, if it is certain that there was none between them, which means that
     * all changes of the key from its record to this process's own one were seen.
     *
     * @param version the version of this process's own record
     */
    Optional<FormerOwner> formerOwner(long version) {
        return ownVersion == version && ownLists == lastOtherLists ? Optional.ofNullable(lastOther) : Optional.empty();
    }
}
