package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;

/** Learns what becomes of runs. */
interface RunListener {

    /** Takes note of an end; returns the number of the change that records it. */
    long ended(WorkerState worker, RunEnd end);

    /** A run is over for certain, and no end of it is known. */
    void gone(Run run, String cause);

    /** A start was refused for certain. */
    void refused(Run run, String reason, boolean workerAtFault);

    /** A worker leaves starts unanswered. */
    void unanswered(Run run);

    /** The worker has the run, or has agreed to stop it. */
    void settled(Run run);

    /** A worker has a run that it was not told to start by this owner. */
    void found(WorkerState worker, RunReport report);

    /** A report of the worker has been applied. */
    void reportApplied(WorkerState worker);

    /** The workers or their states changed. */
    void workersChanged();

    /** A worker has seen a higher fencing token. */
    void fenced(WorkerState worker);
}
