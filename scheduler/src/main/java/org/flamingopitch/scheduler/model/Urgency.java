package org.flamingopitch.scheduler.model;

/** Whether somebody waits for the answer. */
public enum Urgency {
    /** The caller waits. */
    URGENT {
        @Override
        public int usableSlots(int slots, int urgentReserve) {
            return slots;
        }
    },
    /** The work may wait and runs as a job. */
    DEFERRABLE {
        @Override
        public int usableSlots(int slots, int urgentReserve) {
            return Math.max(0, slots - urgentReserve);
        }
    };

    /**
     * Returns how many of a worker's slots work of this urgency may fill.
     *
     * @param slots all slots of the worker
     * @param urgentReserve slots kept free for urgent work
     * @return the number of slots
     */
    public abstract int usableSlots(int slots, int urgentReserve);
}
