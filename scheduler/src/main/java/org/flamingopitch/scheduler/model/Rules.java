package org.flamingopitch.scheduler.model;

import java.util.List;

/**
 * The operators' rules for kinds of work and queues.
 *
 * @param kinds the rule of each kind of work
 * @param urgentReserveSlots the number of slots of each worker that are reserved for urgent work
 * @param urgentQueuePerRack the maximum number of urgent requests that wait for a slot of a rack
 */
public record Rules(List<KindRule> kinds, int urgentReserveSlots, int urgentQueuePerRack) {}
