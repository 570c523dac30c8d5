package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;

/**
 * The time limits, and the factor on the duration of remote tasks, that the platform sets for a cell.
 *
 * @param maxLease the longest lease under which a worker runs tasks without an extension
 * @param doneJobRetention how long the state of a job can be read after its end
 * @param gangTimeout how long a started task of a gang (tasks that must run at the same time) waits for the others
 * @param stopTimeout how long a worker may take to stop a run
 * @param unavailableAfter how long a long-running task may be down before it counts as unavailable
 * @param evacuationLimit from when after the request no task may start in an evacuated data centre; zero if the
 *     deployment has no evacuations
 * @param restoreTime how long a task takes to resume from a checkpoint
 * @param checkpointInterval the work between two checkpoints of a task; zero if it is not known
 * @param farFactor the factor on the duration of a task that runs outside its preferred rack, or whose group is spread
 *     over several racks; at least 1
 */
public record CellTimings(
        Duration maxLease,
        Duration doneJobRetention,
        Duration gangTimeout,
        Duration stopTimeout,
        Duration unavailableAfter,
        Duration evacuationLimit,
        Duration restoreTime,
        Duration checkpointInterval,
        double farFactor) {

    /** Rejects a factor with which remote tasks would be faster. */
    public CellTimings {
        if (!(farFactor >= 1) || Double.isInfinite(farFactor)) {
            throw new IllegalArgumentException("farFactor must be a number of at least 1, found " + farFactor);
        }
    }

    /**
     * Creates the time limits of a platform without evacuations, checkpoints and preferred racks.
     *
     * @param maxLease the longest lease under which a worker runs tasks without an extension
     * @param doneJobRetention how long the state of a job can be read after its end
     * @param gangTimeout how long a started task of a gang waits for the others
     * @param stopTimeout how long a worker may take to stop a run
     * @param unavailableAfter how long a long-running task may be down before it counts as unavailable
     */
    public CellTimings(
            Duration maxLease,
            Duration doneJobRetention,
            Duration gangTimeout,
            Duration stopTimeout,
            Duration unavailableAfter) {
        this(
                maxLease,
                doneJobRetention,
                gangTimeout,
                stopTimeout,
                unavailableAfter,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                1);
    }
}
