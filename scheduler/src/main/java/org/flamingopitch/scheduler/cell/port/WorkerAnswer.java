package org.flamingopitch.scheduler.cell.port;

import java.util.List;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;

/** The outcome of a call to a worker. */
public sealed interface WorkerAnswer {

    /**
     * The order is carried out, or was before.
     *
     * @param clockMillis the worker's clock
     */
    record Done(long clockMillis) implements WorkerAnswer {}

    /**
     * All that the worker runs, and the ends that are not acknowledged.
     *
     * @param life the start of the worker's present life, in milliseconds since 1970
     * @param clockMillis the worker's clock
     * @param running the runs
     * @param ended the ends
     */
    record Report(long life, long clockMillis, List<RunReport> running, List<RunEnd> ended) implements WorkerAnswer {}

    /**
     * The order is not carried out.
     *
     * @param reason why
     * @param clockMillis the worker's clock
     */
    record Rejected(OrderRejection reason, long clockMillis) implements WorkerAnswer {}

    /** Another life of the worker answered; nothing was done. */
    record OtherLife() implements WorkerAnswer {}

    /** The worker is unhealthy; nothing was done. */
    record Unhealthy() implements WorkerAnswer {}

    /**
     * No answer; the order may be carried out, also later.
     *
     * @param failure the step and peer
     */
    record Lost(Failure failure) implements WorkerAnswer {}

    /**
     * Nothing was sent.
     *
     * @param failure the step and peer
     */
    record NotSent(Failure failure) implements WorkerAnswer {}
}
