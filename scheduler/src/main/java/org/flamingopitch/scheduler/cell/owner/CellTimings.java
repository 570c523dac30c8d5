package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;

/**
 * The time limits that the platform sets for a cell.
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
 */
public record CellTimings(
        Duration maxLease,
        Duration doneJobRetention,
        Duration gangTimeout,
        Duration stopTimeout,
        Duration unavailableAfter,
        Duration evacuationLimit,
        Duration restoreTime,
        Duration checkpointInterval) {

    /**
     * Creates the time limits of a platform that has no evacuations and does not tell how tasks resume from checkpoints.
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
                Duration.ZERO);
    }
}
