package org.flamingopitch.scheduler.model;

import java.util.List;

/**
 * The operators' rules.
 *
 * @param kinds the kinds of work
 * @param urgentReserveSlots slots of each worker that batch work leaves free
 * @param urgentQueuePerRack urgent requests that wait for a slot of a rack at the most
 */
public record Rules(List<KindRule> kinds, int urgentReserveSlots, int urgentQueuePerRack) {}
