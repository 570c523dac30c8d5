package org.flamingopitch.scheduler.cell.owner;

import java.util.Locale;

/** Why a worker does not take a task: the first of the tests, in this order, that the worker fails. */
enum PlacementObstacle {
    /** The worker has no entry, or has been absent from the listing for too long. */
    MISSING,

    /** Another worker has answered at the worker's address, so that it has ended. */
    REPLACED,

    /** The worker is draining. */
    DRAINING,

    /** The worker's data centre is under evacuation. */
    EVACUATED,

    /** The last call to the worker was not answered, or none has been yet. */
    NOT_ANSWERING,

    /** The worker's entry and its last report are of different lives of the worker. */
    RESTARTED,

    /** The worker has a run that the owner cannot assign to a task. */
    UNKNOWN_RUNS,

    /** The worker is in quarantine for all tasks. */
    QUARANTINED,

    /** Reservations leave too little memory, processor time or other resources. */
    CAPACITY,

    /** The service, the label or the limit of tasks per worker of the step excludes the worker. */
    NOT_PERMITTED,

    /** The worker is in quarantine and has its one short task. */
    TRIAL,

    /** Best-effort tasks and the load of latency-critical ones leave too little processor time. */
    PROCESSOR_TIME,

    /** The interference with a latency-critical image there is not known, and another task is being tried. */
    UNKNOWN_INTERFERENCE,

    /** A latency-critical task there would get too little headroom. */
    HEADROOM,

    /** The worker is reserved for another task. */
    RESERVED,

    /** A task there needs isolation, or this one does and a run there may crash the worker. */
    ISOLATION,

    /** The worker takes the task. */
    NONE;

    /** Returns the name in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
