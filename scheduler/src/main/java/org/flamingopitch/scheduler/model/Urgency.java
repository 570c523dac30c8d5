package org.flamingopitch.scheduler.model;

/** Whether a caller waits for the answer. */
public enum Urgency {
    /** The work is a request, and its caller waits for the answer. */
    URGENT {
        @Override
        public int usableSlots(int slots, int urgentReserve) {
            return slots;
        }
    },
    /** The work is submitted as a job and runs when capacity is free. */
    DEFERRABLE {
        @Override
        public int usableSlots(int slots, int urgentReserve) {
            return Math.max(0, slots - urgentReserve);
        }
    };

    /**
     * Returns how many slots of a worker may be used by work of this urgency.
     *
     * @param slots the total number of slots of the worker
     * @param urgentReserve the number of slots reserved for urgent work
     * @return the number of usable slots
     */
    public abstract int usableSlots(int slots, int urgentReserve);
}
