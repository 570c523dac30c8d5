package org.flamingopitch.scheduler.cell.port;

import java.util.List;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;

/** The outcome of sending an order to a worker. */
public sealed interface WorkerAnswer {

    /**
     * The worker has carried out the order, now or when it received the same order earlier.
     *
     * @param clockMillis the time on the worker's clock, in milliseconds
     */
    record Done(long clockMillis) implements WorkerAnswer {}

    /**
     * The runs on the worker, and the ends of runs that the cell's owner has not acknowledged.
     *
     * @param life the worker's incarnation, identified by its start in milliseconds since the epoch
     * @param clockMillis the time on the worker's clock, in milliseconds
     * @param running the runs in progress
     * @param ended the unacknowledged ends, the oldest first
     * @param allEndsListed whether there are no further ends, which the worker reports once these are acknowledged
     */
    record Report(long life, long clockMillis, List<RunReport> running, List<RunEnd> ended, boolean allEndsListed)
            implements WorkerAnswer {}

    /**
     * The worker rejected the order and did not carry it out.
     *
     * @param reason why the order was rejected
     * @param clockMillis the time on the worker's clock, in milliseconds
     */
    record Rejected(OrderRejection reason, long clockMillis) implements WorkerAnswer {}

    /** Another incarnation of the worker answered; the order was not carried out. */
    record OtherLife() implements WorkerAnswer {}

    /** The worker is unhealthy or overloaded; the order was not carried out. */
    record Unhealthy() implements WorkerAnswer {}

    /**
     * No valid answer was received; the worker may have carried out the order or may still do so.
     *
     * @param failure the failed step and the worker's address
     */
    record Lost(Failure failure) implements WorkerAnswer {}

    /**
     * The order was not sent.
     *
     * @param failure the failed step and the worker's address
     */
    record NotSent(Failure failure) implements WorkerAnswer {}
}
