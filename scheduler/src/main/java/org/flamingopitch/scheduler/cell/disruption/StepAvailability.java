package org.flamingopitch.scheduler.cell.disruption;

/**
 * How many long-running tasks of a step are at work. A task is not at work without a run, before its run's progress is
 * reported as 100 %, while its run is being stopped, and while its worker does not answer, whatever the cause.
 *
 * @param unavailable the number of tasks that are not at work
 * @param unreported the number of tasks, counted as unavailable, whose recorded run has not been reported since the
 *     takeover
 * @param maxUnavailable how many tasks of the step may be unavailable because of the scheduler; 0 for no limit
 */
public record StepAvailability(int unavailable, int unreported, int maxUnavailable) {}
