package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Decides at submission whether a job is admitted, from the work that is queued ahead of it and the unreserved
 * processor time. In overload it rejects a job that would end long after its objective (the time by which it should
 * end), with the delay after which the caller should retry.
 */
final class AdmissionControl {

    /**
     * A job is rejected if its expected duration exceeds this multiple of the allowed one. It is above 1 because
     * estimates err in both directions.
     */
    private static final double MAX_DURATION_FACTOR = 1.4;

    /**
     * Maximum share of the workers' processor time that long-running tasks may reserve. The rest is for short tasks and
     * for the loss of workers.
     */
    private static final double MAX_LONG_RUNNING_SHARE = 0.85;

    private static final Duration MIN_RETRY_DELAY = Duration.ofSeconds(1);

    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(8);

    private AdmissionControl() {}

    /**
     * Returns the delay after which the caller should retry, or empty if the job is admitted.
     *
     * @param capacity the work that the workers can complete each millisecond, in millicores
     * @param totalMilliCores the processor time of all workers of the queue's service, in millicores
     */
    static Optional<Duration> retryDelayIfRejected(
            JobSpec spec,
            QueueSpec queue,
            Collection<Job> jobs,
            long capacity,
            long totalMilliCores,
            DurationEstimates estimates,
            Instant now) {
        if (spec.longRunning()) {
            return longRunningRetryDelay(spec, queue, jobs, totalMilliCores);
        }
        if (spec.timed()) {
            return Optional.empty();
        }
        if (capacity <= 0) {
            return Optional.empty();
        }
        long waitMillis = backlog(spec, queue, jobs, estimates, now) / capacity;
        long criticalPathMillis = estimates.expectedMillis(queue.name(), spec.criticalPathMillis());
        long allowedMillis =
                (long) (MAX_DURATION_FACTOR * (queue.stretch() * spec.criticalPathMillis() + queue.targetMillis()));
        long excessMillis = waitMillis + criticalPathMillis - allowedMillis;
        return excessMillis <= 0 ? Optional.empty() : Optional.of(clamp(Duration.ofMillis(excessMillis)));
    }

    /**
     * Returns the retry delay of a long-running job that would leave too little capacity for short jobs, or empty if
     * the job is admitted. Such a job is not queued: it would wait for capacity that other long-running jobs do not
     * release soon.
     */
    private static Optional<Duration> longRunningRetryDelay(
            JobSpec spec, QueueSpec queue, Collection<Job> jobs, long totalMilliCores) {
        long reserved = reservedMilliCores(spec);
        for (Job job : jobs) {
            if (job.open() && job.spec().longRunning() && job.queue().service().equals(queue.service())) {
                reserved += reservedMilliCores(job.spec());
            }
        }
        return totalMilliCores > 0 && reserved > MAX_LONG_RUNNING_SHARE * totalMilliCores
                ? Optional.of(MAX_RETRY_DELAY)
                : Optional.empty();
    }

    private static long reservedMilliCores(JobSpec spec) {
        long sum = 0;
        for (StepSpec step : spec.steps()) {
            sum += step.reserved().milliCores() * step.count();
        }
        return sum;
    }

    private static Duration clamp(Duration delay) {
        if (delay.compareTo(MIN_RETRY_DELAY) < 0) {
            return MIN_RETRY_DELAY;
        }
        return delay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : delay;
    }

    /**
     * Returns the work that is to be done by the end of the new job, its own included, in millicores times
     * milliseconds. Each job ahead counts with at most the new job's own work, since smaller jobs are placed before
     * larger ones.
     */
    private static long backlog(
            JobSpec spec, QueueSpec queue, Collection<Job> jobs, DurationEstimates estimates, Instant now) {
        long jobWork = 0;
        for (StepSpec step : spec.steps()) {
            jobWork += estimates.expectedMillis(queue.name(), step.estimateMillis())
                    * step.demand().milliCores()
                    * step.count();
        }
        long backlog = jobWork;
        for (Job job : jobs) {
            boolean isAhead =
                    job.open() && !job.spec().longRunning() && job.queue().priority() <= queue.priority();
            if (isAhead && JobQueueOrder.canMeetObjective(job, estimates, now)) {
                backlog += Math.min(jobWork, JobQueueOrder.remainingWork(job, estimates));
            }
        }
        return backlog;
    }
}
