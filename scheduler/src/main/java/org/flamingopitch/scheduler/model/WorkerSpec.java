package org.flamingopitch.scheduler.model;

/**
 * A worker in the inventory.
 *
 * @param name the name of the worker
 * @param address the network address, as host and port
 * @param capacity its processors, memory and accelerators
 * @param slots the number of requests and tasks that it runs at the same time
 * @param connections the maximum number of connections that it accepts from all entry hosts together
 */
public record WorkerSpec(WorkerId name, String address, Resources capacity, int slots, int connections) {}
