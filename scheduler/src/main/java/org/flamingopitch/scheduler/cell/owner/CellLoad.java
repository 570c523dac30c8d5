package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/** Tells how much work waits for the workers of a cell and how much they can take. */
final class CellLoad {

    private final JobTable jobs;

    private final Fleet fleet;

    private final DrainRate drainRate;

    CellLoad(JobTable jobs, Fleet fleet, DrainRate drainRate) {
        this.jobs = jobs;
        this.fleet = fleet;
        this.drainRate = drainRate;
    }

    /** Counts the accepted jobs of a queue of which no task has started. */
    int pending(QueueName queue) {
        int count = 0;
        for (Job job : jobs.all()) {
            if (job.open() && !job.started() && job.queue().name().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the work of a queue's service that can end each millisecond, in thousandths of a core. */
    long capacity(QueueSpec queue, Instant now) {
        long idle = 0;
        for (WorkerState worker : fleet.workers()) {
            boolean serves = worker.known() && worker.entry().service().equals(queue.service());
            if (serves && fleet.usable(worker, now)) {
                idle += Math.max(0, worker.free().milliCores() - worker.fillCpuMillis());
            }
        }
        return drainRate.perMilli(now) + idle;
    }

    /** Returns the processor time of all workers of a queue's service, in thousandths of a core. */
    long totalCpu(QueueSpec queue) {
        long sum = 0;
        for (WorkerState worker : fleet.workers()) {
            boolean serves = worker.known() && worker.entry().service().equals(queue.service());
            sum += serves && !worker.draining() ? worker.entry().capacity().milliCores() : 0;
        }
        return sum;
    }
}
