package org.flamingopitch.scheduler.cell.port;

/** Why a worker rejects an order. */
public enum OrderRejection {
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The run is not higher than one that was stopped or has ended there. */
    OLD_RUN,
    /** The order's lease was over when it arrived. */
    LATE,
    /** The task does not fit. */
    NO_ROOM,
    /** The start lacks a valid ticket of the policy service. */
    NO_TICKET,
    /** The order is malformed. */
    MALFORMED
}
