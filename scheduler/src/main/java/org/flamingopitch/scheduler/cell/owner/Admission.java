package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Decides at once whether a job can still be served, from the work that waits before it and the processor time that is
 * not reserved. Under a flood it refuses what would end long after its objective, and says when to come back.
 */
final class Admission {

    /** A job that is expected to end after this many times its objective is refused: estimates are off both ways. */
    private static final double HOPELESS = 1.4;

    /** The share of the workers that lasting tasks may take; the rest is for short work and for lost workers. */
    private static final double LASTING_SHARE = 0.85;

    private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);

    private static final Duration LONGEST_RETRY = Duration.ofSeconds(8);

    private Admission() {}

    /**
     * Returns when to come back, or nothing if the job is taken.
     *
     * @param capacity the work that ends each millisecond, in thousandths of a core
     * @param total the processor time of all workers of the queue's service, in thousandths of a core
     */
    static Optional<Duration> refusal(
            JobSpec spec,
            QueueSpec queue,
            Collection<Job> jobs,
            long capacity,
            long total,
            DurationEstimates estimates,
            Instant now) {
        if (spec.lasting()) {
            return lastingRefusal(spec, queue, jobs, total);
        }
        if (spec.timed()) {
            return Optional.empty();
        }
        if (capacity <= 0) {
            return Optional.empty();
        }
        long waitMillis = backlog(spec, queue, jobs, estimates, now) / capacity;
        long chain = estimates.expectedMillis(queue.name(), spec.longestChainMillis());
        long allowed = (long) (HOPELESS * (queue.stretch() * spec.longestChainMillis() + queue.targetMillis()));
        long excess = waitMillis + chain - allowed;
        return excess <= 0 ? Optional.empty() : Optional.of(clamp(Duration.ofMillis(excess)));
    }

    /** Refuses what would leave short work without room, or would itself wait for room that nothing gives back soon. */
    private static Optional<Duration> lastingRefusal(JobSpec spec, QueueSpec queue, Collection<Job> jobs, long total) {
        long reserved = reserved(spec);
        for (Job job : jobs) {
            if (job.open() && job.spec().lasting() && job.queue().service().equals(queue.service())) {
                reserved += reserved(job.spec());
            }
        }
        return total > 0 && reserved > LASTING_SHARE * total ? Optional.of(LONGEST_RETRY) : Optional.empty();
    }

    private static long reserved(JobSpec spec) {
        long sum = 0;
        for (StepSpec step : spec.steps()) {
            sum += step.reserved().milliCores() * step.count();
        }
        return sum;
    }

    private static Duration clamp(Duration time) {
        if (time.compareTo(SHORTEST_RETRY) < 0) {
            return SHORTEST_RETRY;
        }
        return time.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : time;
    }

    /** Returns the work that goes before a new job, in thousandths of a core times milliseconds. */
    private static long backlog(
            JobSpec spec, QueueSpec queue, Collection<Job> jobs, DurationEstimates estimates, Instant now) {
        long own = 0;
        for (StepSpec step : spec.steps()) {
            own += estimates.expectedMillis(queue.name(), step.estimateMillis())
                    * step.demand().milliCores()
                    * step.count();
        }
        long backlog = own;
        for (Job job : jobs) {
            boolean before = job.open() && !job.spec().lasting() && job.queue().priority() <= queue.priority();
            if (before && JobOrder.inTime(job, estimates, now)) {
                backlog += Math.min(own, JobOrder.workLeft(job, estimates));
            }
        }
        return backlog;
    }
}
