package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;

/**
 * Orders jobs that wait for room. Lasting work first, because it serves others; then by the queue's priority; then jobs
 * that can still be in time before those that cannot, and those with the least work left first. Under a flood this
 * brings the most jobs to their end in time, and keeps jobs that are late anyway from making all others late too.
 */
final class JobOrder {

    private JobOrder() {}

    static List<Job> sort(List<Job> jobs, DurationEstimates estimates, Instant now) {
        return jobs.stream()
                .map(job -> new Ranked(job, rank(job, estimates, now), workLeft(job, estimates)))
                .sorted(Comparator.comparingInt(
                                (Ranked each) -> each.job().spec().lasting() ? 0 : 1)
                        .thenComparingInt(each -> each.job().queue().priority())
                        .thenComparingInt(Ranked::rank)
                        .thenComparingLong(Ranked::workLeft)
                        .thenComparing(each -> each.job().id().value()))
                .map(Ranked::job)
                .toList();
    }

    private static int rank(Job job, DurationEstimates estimates, Instant now) {
        return inTime(job, estimates, now) ? 0 : 1;
    }

    /** Tells whether a job would be in time if all its tasks found room now. */
    static boolean inTime(Job job, DurationEstimates estimates, Instant now) {
        return !now.plusMillis(remainingMillis(job, estimates)).isAfter(job.objective());
    }

    /** Returns the work that is not done, in thousandths of a core times milliseconds. */
    static long workLeft(Job job, DurationEstimates estimates) {
        long sum = 0;
        for (Step step : job.occurrences().get(0)) {
            long each = estimates.expectedMillis(job.queue().name(), step.spec().estimateMillis())
                    * step.spec().demand().milliCores();
            sum += each * step.leftCount();
        }
        return sum;
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

    private record Ranked(Job job, int rank, long workLeft) {}
}
