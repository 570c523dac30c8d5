package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;

/**
 * Orders jobs that wait for free capacity: long-running jobs first, because other parties depend on them; then by the
 * priority of the queue; then by remaining value to the caller for each unit of remaining work. In overload this
 * completes jobs that have started, keeps jobs that are already late from delaying the others, and serves large jobs
 * nearly as often as small ones.
 */
final class JobQueueOrder {

    /** Part of a job's value that does not depend on its amount of work, as in the platform's scoring rule. */
    private static final double FIXED_VALUE = 0.3;

    /**
     * Maximum value of a job, where a job of average work in its queue has value 1, as in the platform's scoring rule.
     */
    private static final double MAX_VALUE = 4;

    /**
     * Value of a job that ends after its objective (the time by which it should end), as a share of its full value, as
     * in the platform's scoring rule.
     */
    private static final double LATE_VALUE_FACTOR = 0.15;

    /**
     * Weight of a job of which a task has started, where a job that has not started has weight 1, or up to 2 if its class
     * was served less than others. Without it, new jobs take the capacity that started jobs need to end in time, and most
     * jobs end late: up to 4 s pass between the first and the last start of a step's tasks.
     */
    private static final double STARTED_JOB_WEIGHT = 3;

    /**
     * Value factor of a job that is too late to be of any value to its caller. Such jobs come last, those with the
     * least remaining work first.
     */
    private static final double EXPIRED_VALUE_FACTOR = 0.001;

    private final DurationEstimates estimates;

    private final AverageJobWork averageWork;

    private final ServiceShares shares;

    private final FeatureGates gates;

    JobQueueOrder(DurationEstimates estimates, AverageJobWork averageWork, ServiceShares shares) {
        this(estimates, averageWork, shares, FeatureGates.ALL_ON);
    }

    JobQueueOrder(DurationEstimates estimates, AverageJobWork averageWork, ServiceShares shares, FeatureGates gates) {
        this.gates = gates;
        this.estimates = estimates;
        this.averageWork = averageWork;
        this.shares = shares;
    }

    /** Returns the value of a job to its caller, where a job of average work in its queue has value 1. */
    static double value(double work, long averageWork) {
        return Math.min(MAX_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * work / Math.max(1, averageWork));
    }

    /** Returns the jobs in the order in which they are to be placed. */
    List<Job> sort(List<Job> jobs, Instant now) {
        return jobs.stream()
                .map(job -> new RankedJob(job, valuePerWork(job, now)))
                .sorted(Comparator.comparingInt(
                                (RankedJob ranked) -> ranked.job().spec().longRunning() ? 0 : 1)
                        .thenComparingInt(ranked -> ranked.job().queue().priority())
                        .thenComparing(Comparator.comparingDouble(RankedJob::valuePerWork)
                                .reversed())
                        .thenComparing(ranked -> ranked.job().id().value()))
                .map(RankedJob::job)
                .toList();
    }

    private double valuePerWork(Job job, Instant now) {
        if (!gates.on(FeatureGate.VALUE_ORDER)) {
            return -job.submittedMillis();
        }
        double value = value(totalWork(job), averageWork.of(job.queue().name()));
        double weight = job.started() ? startedJobWeight() : shareBoost(job);
        return weight * timelinessFactor(job, now) * value / Math.max(1, remainingWork(job, estimates));
    }

    private double startedJobWeight() {
        return gates.on(FeatureGate.STARTED_JOB_WEIGHT) ? STARTED_JOB_WEIGHT : 1;
    }

    private double shareBoost(Job job) {
        return gates.on(FeatureGate.SERVICE_SHARES) ? shares.boost(job.queue().name(), job.sizeClass()) : 1;
    }

    private double timelinessFactor(Job job, Instant now) {
        Duration lateness = Duration.between(job.objective(), now.plusMillis(remainingMillis(job, estimates)));
        if (lateness.isNegative() || lateness.isZero()) {
            return 1;
        }
        Duration allowedDuration = Duration.between(job.submittedAt(), job.objective());
        return lateness.compareTo(allowedDuration.multipliedBy(Job.MAX_LATENESS_FACTOR - 1L)) <= 0
                ? LATE_VALUE_FACTOR
                : EXPIRED_VALUE_FACTOR;
    }

    private long totalWork(Job job) {
        long sum = 0;
        for (Step step : job.occurrences().get(0)) {
            sum += taskWork(job, step) * step.tasks().size();
        }
        return sum;
    }

    /** Returns the work of the job's tasks that are not done, in millicores times milliseconds. */
    static long remainingWork(Job job, DurationEstimates estimates) {
        long sum = 0;
        for (Step step : job.occurrences().get(0)) {
            sum += taskWork(job, step, estimates) * step.remainingCount();
        }
        return sum;
    }

    private long taskWork(Job job, Step step) {
        return taskWork(job, step, estimates);
    }

    private static long taskWork(Job job, Step step, DurationEstimates estimates) {
        long taskMillis =
                estimates.expectedMillis(job.queue().name(), step.spec().estimateMillis());
        return taskMillis * step.spec().demand().milliCores();
    }

    /** Returns whether the job would meet its objective if all its remaining tasks could start now. */
    static boolean canMeetObjective(Job job, DurationEstimates estimates, Instant now) {
        return !now.plusMillis(remainingMillis(job, estimates)).isAfter(job.objective());
    }

    private static long remainingMillis(Job job, DurationEstimates estimates) {
        long remaining = 0;
        for (Step step : job.occurrences().get(0)) {
            if (!step.done()) {
                remaining +=
                        estimates.expectedMillis(job.queue().name(), step.spec().estimateMillis());
            }
        }
        return remaining;
    }

    private record RankedJob(Job job, double valuePerWork) {}
}
