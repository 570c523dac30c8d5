package org.flamingopitch.scheduler.message;

import org.flamingopitch.coordination.api.PartitionId;

/**
 * The free capacity of a rack.
 *
 * @param rack the rack
 * @param urgentSlots the number of slots free for urgent work, less the number of requests that wait
 * @param batchSlots the number of slots free for tasks of jobs
 */
public record RackLoad(PartitionId rack, int urgentSlots, int batchSlots) {}
