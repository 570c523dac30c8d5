package org.flamingopitch.coordination.ownership;

import org.flamingopitch.coordination.api.PartitionId;

/** Receives the changes of this process's ownership of partitions. */
public interface OwnershipListener {

    /**
     * Called when this process has become the owner of a partition. Former owners send nothing more, but their last
     * messages may still arrive during the maximum transit time.
     *
     * @param partition the partition
     * @param epoch the epoch of this ownership
     */
    void gained(PartitionId partition, long epoch);

    /**
     * Called when this process no longer owns a partition.
     *
     * @param partition the partition
     */
    void lost(PartitionId partition);

    /**
     * Called when a partition should move to another process. The listener completes the work in progress on the
     * partition and then confirms.
     *
     * @param partition the partition
     * @param done the confirmation, to be run when no work is in progress
     */
    void handOver(PartitionId partition, Runnable done);
}
