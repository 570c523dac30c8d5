package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import org.flamingopitch.scheduler.cell.admission.CapacityClaim;
import org.flamingopitch.scheduler.cell.admission.QueueCapacity;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/** Computes the waiting jobs of a queue and the capacity of the workers that serve it. */
final class CellLoad {

    private static final int FULL_SPEED_PERCENT = 100;

    private final JobTable jobs;

    private final WorkerRegistry workerRegistry;

    private final CompletionRate bestEffortCompletionRate;

    CellLoad(JobTable jobs, WorkerRegistry workerRegistry, CompletionRate bestEffortCompletionRate) {
        this.jobs = jobs;
        this.workerRegistry = workerRegistry;
        this.bestEffortCompletionRate = bestEffortCompletionRate;
    }

    /** Returns the number of accepted jobs of a queue of which no task is known to have begun. */
    int countPendingJobs(QueueName queue) {
        int count = 0;
        for (Job job : jobs.all()) {
            if (job.open() && !job.begun() && job.queue().name().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the work that the workers of a queue's service can complete each millisecond for a job, in millicores. For
     * a job that reserves processors this is what is not reserved by tasks that the job neither preempts nor waits for.
     * For a best-effort job it is the rate at which best-effort work completes plus the idle processor time.
     */
    long capacity(QueueSpec queue, JobSpec spec, Instant now) {
        List<WorkerState> serving = workerRegistry.workers().stream()
                .filter(worker -> serves(worker, queue, now))
                .toList();
        return QueueCapacity.isBestEffort(spec)
                ? bestEffortCapacity(serving, bestEffortCompletionRate, now)
                : unreservedCapacity(serving, queue, spec);
    }

    static long bestEffortCapacity(Collection<WorkerState> workers, CompletionRate completionRate, Instant now) {
        long idle = 0;
        long running = 0;
        for (WorkerState worker : workers) {
            idle += Math.max(0, worker.free().milliCores() - worker.bestEffortMilliCores());
            running += runningBestEffortMilliCores(worker);
        }
        return completionRate.workPerMillisecond(running, now) + idle;
    }

    static long unreservedCapacity(Collection<WorkerState> workers, QueueSpec queue, JobSpec spec) {
        QueueCapacity capacity = new QueueCapacity(spec);
        workers.forEach(worker -> capacity.add(available(worker, queue)));
        return capacity.milliCores();
    }

    private boolean serves(WorkerState worker, QueueSpec queue, Instant now) {
        return worker.registered()
                && worker.entry().service().equals(queue.service())
                && workerRegistry.usable(worker, now);
    }

    /** Returns the resources of a worker that jobs of the queue which reserve processors can use. */
    private static Resources available(WorkerState worker, QueueSpec queue) {
        long milliCores = worker.entry().capacity().milliCores();
        long memory = worker.entry().capacity().memoryMegabytes();
        int accelerators = worker.entry().capacity().accelerators();
        for (Run run : worker.runs()) {
            if (claim(run.task()).reducesCapacityFor(false, queue.priority())) {
                Resources reserved = run.task().step().spec().reserved();
                milliCores -= reserved.milliCores();
                memory -= reserved.memoryMegabytes();
                accelerators -= reserved.accelerators();
            }
        }
        return new Resources(milliCores, memory, accelerators);
    }

    static CapacityClaim claim(Task task) {
        StepSpec spec = task.step().spec();
        return new CapacityClaim(
                spec.lasting(), spec.fills(), task.job().queue().priority());
    }

    /** Returns the processor time that the best-effort tasks on a worker use, in millicores. */
    private static long runningBestEffortMilliCores(WorkerState worker) {
        long sum = 0;
        for (Run run : worker.runs()) {
            StepSpec spec = run.task().step().spec();
            if (spec.fills() && run.phase() == RunPhase.RUNNING) {
                sum += spec.demand().milliCores() * Math.max(0, run.throttledToPercent()) / FULL_SPEED_PERCENT;
            }
        }
        return sum;
    }

    /**
     * Returns the processor time of all workers of a queue's service that are neither draining nor in a data centre under
     * evacuation, in millicores.
     */
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
