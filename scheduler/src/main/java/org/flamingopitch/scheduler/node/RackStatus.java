package org.flamingopitch.scheduler.node;

import java.util.List;
import org.flamingopitch.coordination.api.PartitionId;

/**
 * The state of a rack at its owner.
 *
 * @param rack the rack
 * @param active whether work may be sent
 * @param waiting urgent requests that wait for a slot
 * @param workers the workers
 */
public record RackStatus(PartitionId rack, boolean active, int waiting, List<WorkerStatus> workers) {}
