package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;

/**
 * Orders jobs that wait for room. Lasting work first, because it serves others; then by the queue's priority; then jobs
 * that can still be in time, the most urgent first, before those that cannot. Under a flood this keeps jobs that are
 * late anyway from making all others late too.
 */
final class JobOrder {

    private JobOrder() {}

    static List<Job> sort(List<Job> jobs, DurationEstimates estimates, Instant now) {
        return jobs.stream()
                .map(job -> new Ranked(job, rank(job, estimates, now)))
                .sorted(Comparator.comparingInt(
                                (Ranked each) -> each.job().spec().lasting() ? 0 : 1)
                        .thenComparingInt(each -> each.job().queue().priority())
                        .thenComparingInt(Ranked::rank)
                        .thenComparing(each -> each.job().objective())
                        .thenComparing(each -> each.job().id().value()))
                .map(Ranked::job)
                .toList();
    }

    private static int rank(Job job, DurationEstimates estimates, Instant now) {
        long left = remainingMillis(job, estimates, now);
        return now.plusMillis(left).isAfter(job.objective()) ? 1 : 0;
    }

    private static long remainingMillis(Job job, DurationEstimates estimates, Instant now) {
        long left = 0;
        for (Step step : job.occurrences().get(0)) {
            if (!step.done()) {
                left += estimates.expectedMillis(job.queue().name(), step.spec().estimateMillis());
            }
        }
        return left;
    }

    private record Ranked(Job job, int rank) {}
}
