package org.flamingopitch.scheduler.cell.admission;

/**
 * What a run holds on its worker, as far as it decides which jobs can use the rest. The capacity of a queue is what
 * remains without the runs that its jobs neither preempt nor wait for; such runs are not counted as work ahead of the
 * jobs as well.
 *
 * @param longRunning whether the run's task is long-running
 * @param bestEffort whether the task is best-effort, which means that it reserves no processors
 * @param priority the priority of the task's queue; 0 is the highest
 */
public record CapacityClaim(boolean longRunning, boolean bestEffort, int priority) {

    /**
     * Returns whether the resources that the run reserves are no capacity for a job. For a job that reserves processors
     * these are the long-running tasks, the tasks of queues with a higher priority, and the memory of best-effort tasks
     * that it may not preempt. A best-effort job uses only what no other task reserves.
     *
     * @param bestEffortJob whether the job is best-effort
     * @param jobPriority the priority of the job's queue
     * @return whether the reservation reduces the capacity for the job
     */
    public boolean reducesCapacityFor(boolean bestEffortJob, int jobPriority) {
        if (bestEffortJob) {
            return !bestEffort;
        }
        return longRunning || priority < jobPriority || bestEffort && priority == jobPriority;
    }
}
