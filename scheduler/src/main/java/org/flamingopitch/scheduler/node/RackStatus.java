package org.flamingopitch.scheduler.node;

import java.util.List;
import org.flamingopitch.coordination.api.PartitionId;

/**
 * The state of a rack, as its owner reports it.
 *
 * @param rack the rack
 * @param active whether the owner may send work to the workers
 * @param waiting the number of urgent requests that wait for a slot
 * @param workers the state of each worker
 */
public record RackStatus(PartitionId rack, boolean active, int waiting, List<WorkerStatus> workers) {}
