package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/**
 * Decides at once whether a job can still be served, from the work that waits before it and the processor time that is
 * not reserved. Under a flood it refuses what would end long after its objective, and says when to come back.
 */
final class Admission {

    /** A job that ends after this many times its objective earns its caller next to nothing. */
    private static final double HOPELESS = 2.5;

    private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);

    private static final Duration LONGEST_RETRY = Duration.ofSeconds(8);

    private Admission() {}

    /**
     * Returns when to come back, or nothing if the job is taken.
     *
     * @param capacity the work that ends each millisecond, in thousandths of a core
     */
    static Optional<Duration> refusal(
            JobSpec spec, QueueSpec queue, Collection<Job> jobs, long capacity, DurationEstimates estimates) {
        if (spec.lasting() || spec.timed()) {
            return Optional.empty();
        }
        if (capacity <= 0) {
            return Optional.empty();
        }
        long waitMillis = backlog(queue, jobs, estimates) / capacity;
        long chain = estimates.expectedMillis(queue.name(), spec.longestChainMillis());
        long allowed = (long) (HOPELESS * (queue.stretch() * spec.longestChainMillis() + queue.targetMillis()));
        long excess = waitMillis + chain - allowed;
        return excess <= 0 ? Optional.empty() : Optional.of(clamp(Duration.ofMillis(excess)));
    }

    private static Duration clamp(Duration time) {
        if (time.compareTo(SHORTEST_RETRY) < 0) {
            return SHORTEST_RETRY;
        }
        return time.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : time;
    }

    /** Returns the waiting work of the same or a higher priority, in thousandths of a core times milliseconds. */
    private static long backlog(QueueSpec queue, Collection<Job> jobs, DurationEstimates estimates) {
        long backlog = 0;
        for (Job job : jobs) {
            if (job.open() && !job.spec().lasting() && job.queue().priority() <= queue.priority()) {
                backlog += waiting(job, estimates);
            }
        }
        return backlog;
    }

    private static long waiting(Job job, DurationEstimates estimates) {
        long sum = 0;
        for (Step step : job.occurrences().get(0)) {
            long each = estimates.expectedMillis(job.queue().name(), step.spec().estimateMillis())
                    * step.spec().demand().milliCores();
            for (Task task : step.tasks()) {
                if (!task.done()) {
                    sum += task.run() == null ? each : each / 2;
                }
            }
        }
        return sum;
    }
}
