package org.flamingopitch.scheduler.session;

/**
 * A delivery at which a fault can be injected.
 *
 * @param index the number of the delivery, from 0 in each session
 * @param type what is delivered
 * @param process the entry host that sends or receives it
 * @param worker the worker that sends or receives it, or empty
 */
record Step(int index, StepType type, int process, String worker) {}
