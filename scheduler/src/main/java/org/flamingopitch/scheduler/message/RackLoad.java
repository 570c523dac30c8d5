package org.flamingopitch.scheduler.message;

import org.flamingopitch.coordination.api.PartitionId;

/**
 * How much room a rack has.
 *
 * @param rack the rack
 * @param urgentSlots free slots for urgent work, less the requests that wait
 * @param batchSlots free slots for batch work
 */
public record RackLoad(PartitionId rack, int urgentSlots, int batchSlots) {}
