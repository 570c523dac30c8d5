package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/** Computes the waiting jobs of a queue and the capacity of the workers that serve it. */
final class CellLoad {

    private static final int FULL_SPEED_PERCENT = 100;

    private final JobTable jobs;

    private final WorkerRegistry workerRegistry;

    private final CompletionRate completionRate;

    CellLoad(JobTable jobs, WorkerRegistry workerRegistry, CompletionRate completionRate) {
        this.jobs = jobs;
        this.workerRegistry = workerRegistry;
        this.completionRate = completionRate;
    }

    /** Returns the number of accepted jobs of a queue of which no task has started. */
    int countPendingJobs(QueueName queue) {
        int count = 0;
        for (Job job : jobs.all()) {
            if (job.open() && !job.started() && job.queue().name().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the work that the workers of a queue's service can complete each millisecond, in millicores: the rate of
     * completion plus the idle processor time.
     */
    long capacity(QueueSpec queue, Instant now) {
        long idle = 0;
        long running = 0;
        for (WorkerState worker : workerRegistry.workers()) {
            boolean servesQueue =
                    worker.registered() && worker.entry().service().equals(queue.service());
            if (servesQueue && workerRegistry.usable(worker, now)) {
                idle += Math.max(0, worker.free().milliCores() - worker.bestEffortMilliCores());
                running += runningMilliCores(worker);
            }
        }
        return completionRate.workPerMillisecond(running, now) + idle;
    }

    /** Returns the processor time that the tasks on a worker use which are not long-running, in millicores. */
    private static long runningMilliCores(WorkerState worker) {
        long sum = 0;
        for (Run run : worker.runs()) {
            StepSpec spec = run.task().step().spec();
            if (!spec.lasting() && run.phase() == RunPhase.RUNNING) {
                sum += spec.demand().milliCores() * Math.max(0, run.throttledToPercent()) / FULL_SPEED_PERCENT;
            }
        }
        return sum;
    }

    /** Returns the processor time of all workers of a queue's service that are neither draining nor in a data centre under evacuation, in millicores. */
    long totalMilliCores(QueueSpec queue) {
        long sum = 0;
        for (WorkerState worker : workerRegistry.workers()) {
            boolean counts =
                    workerRegistry.accepting(worker) && worker.entry().service().equals(queue.service());
            sum += counts ? worker.entry().capacity().milliCores() : 0;
        }
        return sum;
    }
}
