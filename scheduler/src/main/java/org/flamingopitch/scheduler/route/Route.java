package org.flamingopitch.scheduler.route;

import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The destination of a call.
 *
 * @param partition the partition
 * @param owner its owner
 */
public record Route(PartitionId partition, ProcessId owner) {}
