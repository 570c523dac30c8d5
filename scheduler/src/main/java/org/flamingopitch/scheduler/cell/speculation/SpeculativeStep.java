package org.flamingopitch.scheduler.cell.speculation;

import java.util.List;

/**
 * The unfinished tasks of a step that permits copies.
 *
 * @param durations the ratios of durations to the estimated or usual one in the job's queue
 * @param estimateMillis the caller's estimate of a task's duration, or the usual duration in the step
 * @param untilObjectiveMillis the time until the job should have ended; negative if that is over
 * @param untilWorthlessMillis the time until the job has no value for its caller any more; negative if that is over
 * @param tasks the unfinished tasks
 */
public record SpeculativeStep(
        DurationDistribution durations,
        long estimateMillis,
        long untilObjectiveMillis,
        long untilWorthlessMillis,
        List<OpenTask> tasks) {

    /**
     * A task that is not done.
     *
     * @param runs its runs; none if it waits
     * @param copyable whether a copy may be started beside its only run
     */
    public record OpenTask(List<RunProgress> runs, boolean copyable) {}
}
