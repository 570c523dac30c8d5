package org.flamingopitch.soak;

/**
 * A planned fault.
 *
 * @param kind what happens
 * @param host its host, or {@link #OWNER}
 * @param worker the position of its worker in the pool
 * @param beginAt when it begins, in milliseconds since the start of its series
 * @param durationMillis how long it is in force
 */
record Fault(FaultKind kind, int host, int worker, long beginAt, long durationMillis) {

    /** Stands for the host that last wrote to the store under a condition when the fault begins. */
    static final int OWNER = -1;

    Fault at(int number) {
        return new Fault(kind, number, worker, beginAt, durationMillis);
    }
}
