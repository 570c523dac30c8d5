package org.flamingopitch.scheduler.session;

/**
 * A fault and the step at which it strikes.
 *
 * @param fault the fault
 * @param step the index of the step
 */
record FaultAt(Fault fault, int step) {}
