package org.flamingopitch.scheduler.cell.owner;

import java.util.List;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;

/** Receives the outcomes of orders, the ends of runs, and changes of workers. */
interface RunListener {

    /**
     * Called for each end of a run that a worker reports.
     *
     * @return the sequence number of the change in the {@link CommitLog} that stores the end
     */
    long onRunEnded(WorkerState worker, RunEnd end);

    /** Called when a run is known to have terminated without a reported end. */
    void onRunTerminated(Run run, String cause);

    /** Called when a worker does not have a run any more, but may still execute one of its starts. */
    void onRunMissing(Run run);

    /**
     * Called when the runs of a silent worker have ended with its lease; the worker may have crashed, or be cut off.
     */
    void onWorkerLapsed(WorkerState worker, List<Run> runs);

    /**
     * Called when the process of a worker is known to have ended.
     *
     * @param runs the runs that have ended with it
     */
    void onWorkerCrashed(WorkerState worker, List<Run> runs);

    /**
     * Called when a start failed and is known not to take effect later.
     *
     * @param workerAtFault whether the failure counts against the worker
     */
    void onStartRefused(Run run, String reason, boolean workerAtFault);

    /** Called when a worker has left the maximum number of starts of a run unanswered. */
    void onStartUnanswered(Run run);

    /**
     * Called when the outcome of the last order is known: the worker has the run, refused it, or has agreed to stop it.
     */
    void onOrderOutcomeKnown(Run run);

    /** Called when a worker reports a run that this owner did not start there. */
    void onUnexpectedRun(WorkerState worker, RunReport report);

    /** Called after a report of a worker has been applied. */
    void onReportApplied(WorkerState worker);

    /** Called when workers were added or their state changed. */
    void onWorkersChanged();

    /** Called when a worker rejected an order because of a newer fencing token: another process owns the cell. */
    void onNewerFencingToken(WorkerState worker);
}
