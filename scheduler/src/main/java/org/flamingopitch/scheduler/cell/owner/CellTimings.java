package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;

/**
 * The bounds that the platform sets for a cell.
 *
 * @param maxLease the longest lease that a worker grants to what it runs
 * @param doneJobsKept how long the state of a job that has ended can be asked for
 * @param gangWait how long a member of a gang waits for the others
 * @param stopTime how long a worker takes to stop a run
 * @param unavailableNotice how long a lasting task may be away before it counts as unavailable
 */
public record CellTimings(
        Duration maxLease, Duration doneJobsKept, Duration gangWait, Duration stopTime, Duration unavailableNotice) {}
