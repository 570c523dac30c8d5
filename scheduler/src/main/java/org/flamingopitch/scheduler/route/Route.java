package org.flamingopitch.scheduler.route;

import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * Where a call goes.
 *
 * @param partition the partition
 * @param owner its owner
 */
public record Route(PartitionId partition, ProcessId owner) {}
