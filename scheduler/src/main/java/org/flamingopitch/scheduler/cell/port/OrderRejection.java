package org.flamingopitch.scheduler.cell.port;

/** The reason why a worker rejected an order. */
public enum OrderRejection {
    /** The worker has seen a newer fencing token. */
    FENCED,
    /** The run's number is not higher than that of a run of the task that was stopped or has ended on the worker. */
    OLD_RUN,
    /** The lease that the order grants had expired when the order arrived. */
    LATE,
    /** The worker lacks the free capacity for the task. */
    NO_ROOM,
    /** The start order carries no valid ticket of the policy service. */
    NO_TICKET,
    /** The order is malformed. */
    MALFORMED
}
