package org.flamingopitch.standins.worker;

/**
 * The resources that a task, or all tasks of a worker, use.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMegabytes megabytes of memory
 * @param accelerators the number of accelerators
 */
public record TaskSize(long milliCores, long memoryMegabytes, int accelerators) {}
