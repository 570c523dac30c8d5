package org.flamingopitch.scheduler.cell.speculation;

/**
 * The processor time of the cell's usable workers, in millicores.
 *
 * @param total all of it
 * @param reserved what tasks and copies reserve
 * @param copies what copies reserve
 * @param waitingPriority the highest priority of a task that waits for capacity; 0 is the highest
 */
public record CopyCapacity(long total, long reserved, long copies, int waitingPriority) {

    /** No processor is reserved: in such a cell a copy costs least. */
    public static final CopyCapacity IDLE = new CopyCapacity(1, 0, 0, Integer.MAX_VALUE);

    /** The {@link #waitingPriority()} if no task waits. */
    public static final int NONE_WAITS = Integer.MAX_VALUE;

    /** Bounds what copies take from other tasks if the durations are misjudged. */
    private static final double MAX_COPY_SHARE = 0.05;

    /** Cost of a copy in a cell without reserved processors, as a share of the copy's duration. */
    private static final double IDLE_COST_FACTOR = 0.25;

    /** Cost of a copy in a cell whose processors are all reserved, where the copy delays other tasks. */
    private static final double FULL_COST_FACTOR = 1.25;

    /**
     * Returns how much earlier a copy must be done to pay, as a share of its own duration.
     *
     * @return the share
     */
    double costFactor() {
        double reservedShare = total <= 0 ? 1 : Math.min(1, Math.max(0, (double) reserved / total));
        return IDLE_COST_FACTOR + (FULL_COST_FACTOR - IDLE_COST_FACTOR) * reservedShare;
    }

    /**
     * Returns whether a copy may be started.
     *
     * @param milliCores what the copy reserves
     * @param priority the priority of its queue
     * @return whether no task of the same or a higher priority waits, and the copies' share is not used up
     */
    public boolean admits(long milliCores, int priority) {
        return waitingPriority > priority && copies + milliCores <= total * MAX_COPY_SHARE;
    }

    /**
     * Returns the capacity after the start of a copy.
     *
     * @param milliCores what the copy reserves
     * @return the capacity
     */
    public CopyCapacity withCopy(long milliCores) {
        return new CopyCapacity(total, reserved + milliCores, copies + milliCores, waitingPriority);
    }
}
