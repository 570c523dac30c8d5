package org.flamingopitch.scheduler.cell.admission;

import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Adds up the capacity for a job that reserves processors, under a load of long-running tasks that reserve most
 * processors and of best-effort tasks that fill the rest. It depends only on what is reserved, not on what has been
 * completed: a rate of completion falls with the number of admitted jobs, so that a queue that was rejected once would
 * stay rejected.
 */
public final class QueueCapacity {

    private final Resources meanDemand;

    private long milliCores;

    /**
     * Creates the sum, without workers.
     *
     * @param spec the job
     */
    public QueueCapacity(JobSpec spec) {
        long tasks = 0;
        long milliCoresOfAll = 0;
        long memoryOfAll = 0;
        int accelerators = 0;
        for (StepSpec step : spec.steps()) {
            tasks += step.count();
            milliCoresOfAll += step.count() * step.reserved().milliCores();
            memoryOfAll += step.count() * step.reserved().memoryMegabytes();
            accelerators = Math.max(accelerators, step.reserved().accelerators());
        }
        long divisor = Math.max(1, tasks);
        meanDemand = new Resources(milliCoresOfAll / divisor, memoryOfAll / divisor, accelerators);
    }

    /**
     * Returns whether a job is best-effort, which means that none of its tasks reserves processors.
     *
     * @param spec the job
     * @return whether all steps are best-effort
     */
    public static boolean isBestEffort(JobSpec spec) {
        return spec.steps().stream().allMatch(StepSpec::fills);
    }

    /**
     * Adds a worker, which counts by the scarcest of its resources. A worker without capacity for one task of the job
     * does not count.
     *
     * @param available the resources of the worker that the job's queue can use
     */
    public void add(Resources available) {
        if (!meanDemand.fitsInto(available)) {
            return;
        }
        double tasks = Double.MAX_VALUE;
        if (meanDemand.memoryMegabytes() > 0) {
            tasks = Math.min(tasks, (double) available.memoryMegabytes() / meanDemand.memoryMegabytes());
        }
        if (meanDemand.accelerators() > 0) {
            tasks = Math.min(tasks, (double) available.accelerators() / meanDemand.accelerators());
        }
        milliCores += (long) Math.min(available.milliCores(), tasks * meanDemand.milliCores());
    }

    /**
     * Returns the sum.
     *
     * @return the work that the workers can complete for the job each millisecond, in millicores
     */
    public long milliCores() {
        return milliCores;
    }
}
