package org.flamingopitch.scheduler.session;

/**
 * A fault and the step at which it is injected.
 *
 * @param fault the fault
 * @param step the index of the step
 */
record ScheduledFault(Fault fault, int step) {}
