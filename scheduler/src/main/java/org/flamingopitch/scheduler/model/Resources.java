package org.flamingopitch.scheduler.model;

/**
 * The resources that work needs or that a worker has.
 *
 * @param milliCores the processor time in thousandths of a core
 * @param memoryMegabytes the memory in megabytes
 * @param accelerators the number of accelerators
 */
public record Resources(long milliCores, long memoryMegabytes, int accelerators) {

    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Adds each resource.
     *
     * @param other the resources to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts each resource.
     *
     * @param other the resources to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Returns the larger amount of each resource.
     *
     * @param other the resources to compare with
     * @return the maximum of each resource
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMegabytes, other.memoryMegabytes),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns whether no resource exceeds a capacity.
     *
     * @param capacity the available resources
     * @return whether these resources fit into the capacity
     */
    public boolean fitsInto(Resources capacity) {
        return milliCores <= capacity.milliCores
                && memoryMegabytes <= capacity.memoryMegabytes
                && accelerators <= capacity.accelerators;
    }
}
