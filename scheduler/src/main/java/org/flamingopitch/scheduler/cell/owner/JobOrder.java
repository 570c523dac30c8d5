package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;

/**
 * Orders jobs that wait for room. Lasting work first, because it serves others; then by the queue's priority; then by
 * the time of the submission and the size against the mean: a job of mean size goes as if it had come one objective
 * later, a small one earlier, a large one at most two objectives later. Under a flood this brings more jobs to their
 * end in time than first come, first served, and large jobs still get their turn. Jobs that are far too late go last.
 */
final class JobOrder {

    /** How many objectives later than it came a large job goes at most. */
    private static final double LARGEST_DELAY = 2;

    /** After this many objectives a job goes last. */
    private static final int FAR_TOO_LATE = 3;

    private JobOrder() {}

    static List<Job> sort(List<Job> jobs, DurationEstimates estimates, Instant now) {
        double meanWork = jobs.stream()
                .mapToLong(job -> workLeft(job, estimates))
                .average()
                .orElse(1);
        return jobs.stream()
                .map(job -> new Ranked(job, farTooLate(job, now), turn(job, estimates, meanWork)))
                .sorted(Comparator.comparingInt(
                                (Ranked each) -> each.job().spec().lasting() ? 0 : 1)
                        .thenComparingInt(each -> each.job().queue().priority())
                        .thenComparing(Ranked::farTooLate)
                        .thenComparing(Ranked::turn)
                        .thenComparing(each -> each.job().id().value()))
                .map(Ranked::job)
                .toList();
    }

    /** Tells whether a job is so late that hardly anybody waits for it. */
    static boolean farTooLate(Job job, Instant now) {
        Duration allowed = Duration.between(job.submittedAt(), job.objective());
        return now.isAfter(job.submittedAt().plus(allowed.multipliedBy(FAR_TOO_LATE)));
    }

    private static Instant turn(Job job, DurationEstimates estimates, double meanWork) {
        double size = meanWork <= 0 ? 1 : workLeft(job, estimates) / meanWork;
        Duration allowed = Duration.between(job.submittedAt(), job.objective());
        return job.submittedAt().plusMillis((long) (Math.min(LARGEST_DELAY, size) * allowed.toMillis()));
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

    private record Ranked(Job job, boolean farTooLate, Instant turn) {}
}
