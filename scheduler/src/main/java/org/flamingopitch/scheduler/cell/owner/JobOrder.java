package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;

/**
 * Orders jobs that wait for room. Lasting work first, because it serves others; then by the queue's priority; then by
 * what a job is still worth to its caller for each unit of work that it needs. Under a flood this ends what was begun,
 * keeps jobs that are late anyway from making all others late too, and serves large jobs nearly as often as small ones.
 */
final class JobOrder {

    /** The part of a job's worth that does not grow with its work, says the platform's rule on credit. */
    private static final double FIXED_WORTH = 0.3;

    /** A job is worth at most this many times as much as the mean of its queue, says the same rule. */
    private static final double HIGHEST_WORTH = 4;

    /** What a job is worth after its objective, as a share of what it is worth before: the users' sheets give 0.15. */
    private static final double LATE_WORTH = 0.15;

    /**
     * Weight of jobs of which tasks have started, against those that wait as a whole. Without it each new job takes the
     * room that older ones need to end in time, and most end late: 4 s between the first and the last start of a step.
     */
    private static final double STARTED_WEIGHT = 3;

    /** Jobs that nobody waits for any more come last, the least work first. */
    private static final double WORTHLESS = 0.001;

    private final DurationEstimates estimates;

    private final MeanWork meanWork;

    JobOrder(DurationEstimates estimates, MeanWork meanWork) {
        this.estimates = estimates;
        this.meanWork = meanWork;
    }

    /** Returns the jobs, the most urgent first. */
    List<Job> sort(List<Job> jobs, Instant now) {
        return jobs.stream()
                .map(job -> new Ranked(job, worthByWork(job, now)))
                .sorted(Comparator.comparingInt(
                                (Ranked each) -> each.job().spec().lasting() ? 0 : 1)
                        .thenComparingInt(each -> each.job().queue().priority())
                        .thenComparing(
                                Comparator.comparingDouble(Ranked::worthByWork).reversed())
                        .thenComparing(each -> each.job().id().value()))
                .map(Ranked::job)
                .toList();
    }

    private double worthByWork(Job job, Instant now) {
        double size =
                (double) totalWork(job) / Math.max(1, meanWork.of(job.queue().name()));
        double worth = Math.min(HIGHEST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * size);
        double weight = job.started() ? STARTED_WEIGHT : 1;
        return weight * timeliness(job, now) * worth / Math.max(1, workLeft(job, estimates));
    }

    private double timeliness(Job job, Instant now) {
        Duration late = Duration.between(job.objective(), now.plusMillis(remainingMillis(job, estimates)));
        if (late.isNegative() || late.isZero()) {
            return 1;
        }
        Duration allowed = Duration.between(job.submittedAt(), job.objective());
        return late.compareTo(allowed.multipliedBy(Job.LATEST_OBJECTIVES - 1L)) <= 0 ? LATE_WORTH : WORTHLESS;
    }

    private long totalWork(Job job) {
        long sum = 0;
        for (Step step : job.occurrences().get(0)) {
            sum += taskWork(job, step) * step.tasks().size();
        }
        return sum;
    }

    /** Returns the work that is not done, in thousandths of a core times milliseconds. */
    static long workLeft(Job job, DurationEstimates estimates) {
        long sum = 0;
        for (Step step : job.occurrences().get(0)) {
            sum += taskWork(job, step, estimates) * step.leftCount();
        }
        return sum;
    }

    private long taskWork(Job job, Step step) {
        return taskWork(job, step, estimates);
    }

    private static long taskWork(Job job, Step step, DurationEstimates estimates) {
        long each = estimates.expectedMillis(job.queue().name(), step.spec().estimateMillis());
        return each * step.spec().demand().milliCores();
    }

    /** Tells whether a job would be in time if all its tasks found room now. */
    static boolean inTime(Job job, DurationEstimates estimates, Instant now) {
        return !now.plusMillis(remainingMillis(job, estimates)).isAfter(job.objective());
    }

    private static long remainingMillis(Job job, DurationEstimates estimates) {
        long left = 0;
        for (Step step : job.occurrences().get(0)) {
            if (!step.done()) {
                left += estimates.expectedMillis(job.queue().name(), step.spec().estimateMillis());
            }
        }
        return left;
    }

    private record Ranked(Job job, double worthByWork) {}
}
