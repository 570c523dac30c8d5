package org.flamingopitch.scheduler.cell.port;

import java.time.Duration;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.scheduler.cell.disruption.MoveListener;
import org.flamingopitch.scheduler.cell.locality.RackWaitOutcome;
import org.flamingopitch.scheduler.cell.speculation.CopyOutcome;

/**
 * The services that a cell's owner uses inside the single-writer loop, in which one thread processes all events; every
 * callback runs in that loop.
 */
public interface CellContext extends LoopContext {

    /**
     * Returns the time of day, for example for the due times of jobs that run at set times. It may jump, so time limits
     * inside the process are measured with {@link #now()} instead.
     *
     * @return milliseconds since the epoch
     */
    long timeOfDayMillis();

    /**
     * Sends an order to a worker.
     *
     * @param target the worker
     * @param order the order
     * @param handler receives the answer exactly once
     */
    void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler);

    /**
     * Reads the registrations of all workers.
     *
     * @param handler receives the registrations, or a failure, exactly once
     */
    void listWorkers(Consumer<WorkerListing> handler);

    /**
     * Returns the receiver of what is measured of admissions.
     *
     * @return the receiver; by default one that discards everything
     */
    default AdmissionMetrics admissionMetrics() {
        return AdmissionMetrics.NONE;
    }

    /**
     * Returns the listener that counts moves of long-running tasks.
     *
     * @return the listener
     */
    MoveListener moveListener();

    /**
     * Records in the metrics that the wait of a task for its rack has ended.
     *
     * @param outcome how it ended
     * @param waited how long it was
     */
    default void recordRackWait(RackWaitOutcome outcome, Duration waited) {}

    /**
     * Counts what became of a copy of a task; without effect where there are no metrics.
     *
     * @param outcome the outcome
     */
    default void recordCopyOutcome(CopyOutcome outcome) {}
}
