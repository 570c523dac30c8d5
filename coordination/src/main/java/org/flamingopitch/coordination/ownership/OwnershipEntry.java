package org.flamingopitch.coordination.ownership;

import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The owner of a partition.
 *
 * @param partition the partition
 * @param owner the process that owns it
 * @param peerAddress the owner's address for peers, by which they can find out whether it has terminated
 * @param epoch the number of the ownership period, which grows with each change of owner
 */
public record OwnershipEntry(PartitionId partition, ProcessId owner, String peerAddress, long epoch) {}
