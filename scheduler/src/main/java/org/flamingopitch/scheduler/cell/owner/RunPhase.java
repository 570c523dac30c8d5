package org.flamingopitch.scheduler.cell.owner;

/** The phase of a run, from its placement until it is being stopped. */
enum RunPhase {
    /** Resources are reserved on the worker; the record of the start is not durable yet. */
    PLANNED,
    /** The start was sent; its outcome is unknown. */
    SENT,
    /** The worker has the run. */
    RUNNING,
    /** A stop was sent; the resources are released when the worker reports the end. */
    STOPPING
}
