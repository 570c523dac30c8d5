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
 */
public record CellTimings(
        Duration maxLease,
        Duration doneJobRetention,
        Duration gangTimeout,
        Duration stopTimeout,
        Duration unavailableAfter,
        Duration evacuationLimit) {}
