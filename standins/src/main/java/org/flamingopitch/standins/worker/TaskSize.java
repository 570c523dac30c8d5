package org.flamingopitch.standins.worker;

/**
 * What a task takes.
 *
 * @param milliCores thousandths of a core
 * @param memoryMegabytes memory
 * @param accelerators accelerators
 */
public record TaskSize(long milliCores, long memoryMegabytes, int accelerators) {}
