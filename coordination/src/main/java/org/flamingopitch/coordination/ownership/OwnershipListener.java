package org.flamingopitch.coordination.ownership;

import org.flamingopitch.coordination.api.PartitionId;

/** Learns of changes of this process's ownership. */
public interface OwnershipListener {

    /**
     * This process owns a partition from now on; no former owner emits anything any more, but what it emitted may be
     * under way for the transit time.
     *
     * @param partition the partition
     * @param epoch its epoch
     */
    void gained(PartitionId partition, long epoch);

    /**
     * This process no longer owns a partition.
     *
     * @param partition the partition
     */
    void lost(PartitionId partition);

    /**
     * The partition should move to another process; the listener finishes what it began there and then confirms.
     *
     * @param partition the partition
     * @param done runs once nothing is left to finish
     */
    void handOver(PartitionId partition, Runnable done);
}
