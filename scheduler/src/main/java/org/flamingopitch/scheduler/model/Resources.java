package org.flamingopitch.scheduler.model;

/**
 * What a piece of work takes or a worker holds.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMegabytes memory
 * @param accelerators whole accelerators
 */
public record Resources(long milliCores, long memoryMegabytes, int accelerators) {

    /** Nothing. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Adds.
     *
     * @param other what to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts.
     *
     * @param other what to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Takes the larger of each part.
     *
     * @param other what to compare with
     * @return the larger parts
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMegabytes, other.memoryMegabytes),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Compares each part.
     *
     * @param capacity what is there
     * @return whether this fits into it
     */
    public boolean fitsInto(Resources capacity) {
        return milliCores <= capacity.milliCores
                && memoryMegabytes <= capacity.memoryMegabytes
                && accelerators <= capacity.accelerators;
    }
}
