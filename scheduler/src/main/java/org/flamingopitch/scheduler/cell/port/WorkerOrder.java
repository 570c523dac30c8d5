package org.flamingopitch.scheduler.cell.port;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** A call to a worker by the owner of its cell. */
public sealed interface WorkerOrder {

    /** The lease end that extends nothing. */
    long NO_LEASE = 0;

    /**
     * Returns the fencing token.
     *
     * @return the version at which the sender won the cell
     */
    long fence();

    /**
     * Starts a task.
     *
     * @param task the task
     * @param run the number of this start
     * @param payload the text that the job's caller gave
     * @param leaseEndMillis until when the worker may go on, on the worker's clock
     * @param fence the fencing token
     * @param checkpoint where to resume, empty for the beginning
     */
    record Start(TaskRef task, int run, String payload, long leaseEndMillis, long fence, String checkpoint)
            implements WorkerOrder {}

    /**
     * Stops a run, or keeps it from starting.
     *
     * @param task the task
     * @param run the number of its start
     * @param fence the fencing token
     */
    record Stop(TaskRef task, int run, long fence) implements WorkerOrder {}

    /**
     * Extends the lease, acknowledges ends and asks for all runs.
     *
     * @param leaseEndMillis until when the worker may go on, on its clock, or {@link #NO_LEASE}
     * @param fence the fencing token
     * @param acknowledged the number of the last end that the worker may forget
     * @param longestWait how long the worker may wait for an end
     */
    record Hold(long leaseEndMillis, long fence, long acknowledged, Duration longestWait) implements WorkerOrder {}

    /**
     * Limits the share at which a run works.
     *
     * @param task the task
     * @param run the number of its start
     * @param percent the share, 0 to 100
     * @param fence the fencing token
     */
    record Pace(TaskRef task, int run, int percent, long fence) implements WorkerOrder {}
}
