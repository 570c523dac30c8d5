package org.flamingopitch.scheduler.session;

/**
 * A violation of a guarantee.
 *
 * @param guarantee the guarantee that does not hold
 * @param detail the events that violate it
 */
record Violation(Guarantee guarantee, String detail) {}
