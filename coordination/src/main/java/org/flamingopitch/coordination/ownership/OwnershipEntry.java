package org.flamingopitch.coordination.ownership;

import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * Who owns a partition.
 *
 * @param partition the partition
 * @param owner the process
 * @param peerAddress where the owner is reached, so that others can find out whether it has ended
 * @param epoch grows with each change of the owner
 */
public record OwnershipEntry(PartitionId partition, ProcessId owner, String peerAddress, long epoch) {}
