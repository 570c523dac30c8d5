package org.flamingopitch.scheduler.cell.owner;

/** How far a run has come. */
enum RunPhase {
    /** A place is reserved, the record of the start is not durable yet. */
    PLANNED,
    /** The start was sent and is not answered. */
    SENT,
    /** The worker has it. */
    RUNNING,
    /** It is to be stopped; its room is free when its end is listed. */
    STOPPING
}
