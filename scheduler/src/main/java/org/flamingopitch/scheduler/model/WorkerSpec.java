package org.flamingopitch.scheduler.model;

/**
 * A worker of the inventory.
 *
 * @param name the worker
 * @param address where it is reached
 * @param capacity its processors, memory and accelerators
 * @param slots how many pieces of work it runs at a time
 * @param connections how many connections it accepts from all entry hosts together
 */
public record WorkerSpec(WorkerId name, String address, Resources capacity, int slots, int connections) {}
