package org.flamingopitch.scheduler.cell.port;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** An order from the owner of a cell to one of its workers. */
public sealed interface WorkerOrder {

    /** The lease end of a {@link Hold} order that does not extend the lease. */
    long NO_LEASE = 0;

    /**
     * Returns the fencing token. Workers reject orders whose token is older than one that they have seen, so a former
     * owner can't give orders after a takeover.
     *
     * @return the version of the owner's key with which the sender was elected
     */
    long fence();

    /**
     * Starts a task.
     *
     * @param task the task
     * @param run the number of this run of the task
     * @param payload the payload that the job's caller submitted
     * @param leaseEndMillis when the worker's lease ends, in milliseconds on the worker's clock
     * @param fence the fencing token
     * @param checkpoint the checkpoint to resume from, empty to start from the beginning
     * @param withdrawal withdraws this order while it waits for a connection
     */
    record Start(
            TaskRef task,
            int run,
            String payload,
            long leaseEndMillis,
            long fence,
            String checkpoint,
            OrderWithdrawal withdrawal)
            implements WorkerOrder {}

    /**
     * Stops a run, or prevents it from starting if its start order arrives later.
     *
     * @param task the task
     * @param run the number of the run
     * @param fence the fencing token
     */
    record Stop(TaskRef task, int run, long fence) implements WorkerOrder {}

    /**
     * Extends the worker's lease, acknowledges ends of runs, and requests a {@link WorkerAnswer.Report}.
     *
     * @param leaseEndMillis when the worker's lease ends, in milliseconds on the worker's clock, or {@link #NO_LEASE}
     * @param fence the fencing token
     * @param acknowledged the sequence number of the last acknowledged end; the worker need not report it again
     * @param longestWait how long the worker may delay its report until a run ends
     */
    record Hold(long leaseEndMillis, long fence, long acknowledged, Duration longestWait) implements WorkerOrder {}

    /**
     * Throttles a run.
     *
     * @param task the task
     * @param run the number of the run
     * @param percent the share of its full speed at which the run may work, 0 (paused) to 100
     * @param fence the fencing token
     */
    record Pace(TaskRef task, int run, int percent, long fence) implements WorkerOrder {}
}
