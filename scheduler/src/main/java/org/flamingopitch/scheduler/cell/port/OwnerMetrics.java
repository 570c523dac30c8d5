package org.flamingopitch.scheduler.cell.port;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.disruption.MoveReason;
import org.flamingopitch.scheduler.cell.locality.RackWaitOutcome;
import org.flamingopitch.scheduler.cell.speculation.CopyOutcome;

/** Receives what is measured of the decisions of a cell's owner. Every method does nothing unless it is overridden. */
public interface OwnerMetrics {

    /** Discards all measurements. */
    OwnerMetrics NONE = new OwnerMetrics() {};

    /**
     * Counts a submission.
     *
     * @param priority the priority of its queue
     * @param outcome the outcome
     */
    default void recordAdmission(int priority, String outcome) {}

    /**
     * Records the expected wait of a job whose admission depended on the load.
     *
     * @param expectedWait the time until the work ahead of the job and its own are done
     */
    default void recordAdmissionWait(Duration expectedWait) {}

    /** Counts a run of a best-effort task that is stopped for a task of a higher priority. */
    default void recordPreemption() {}

    /**
     * Counts a long-running task that is stopped in order to run on another worker.
     *
     * @param reason why it is moved
     */
    default void recordMove(MoveReason reason) {}

    /**
     * Counts, once for each run of a long-running task, that its move has to wait: too many tasks of its step are down,
     * or no worker can take it over.
     */
    default void recordDeferredMove() {}

    /**
     * Records that the wait of a task for its rack has ended.
     *
     * @param outcome how it ended
     * @param waited how long it was
     */
    default void recordRackWait(RackWaitOutcome outcome, Duration waited) {}

    /**
     * Counts what became of a copy of a task.
     *
     * @param outcome the outcome
     */
    default void recordCopyOutcome(CopyOutcome outcome) {}

    /**
     * Records how long a job has had nothing at work although the turn of one of its tasks has come.
     *
     * @param longest the longest such time of all jobs, zero if none is long enough to be logged
     */
    default void recordLongestIdleTime(Duration longest) {}

    /**
     * Records how long this host has known of no owner of the cell.
     *
     * @param time the time, zero while an owner is known
     */
    default void recordTimeWithoutOwner(Duration time) {}

    /**
     * Records how much of each service is reserved and how much of that is in use; replaces all values before.
     *
     * @param services the services that have a registered worker, empty on a host that no longer owns the cell
     */
    default void recordServiceCores(List<ServiceCores> services) {}
}
