package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.junit.jupiter.api.Test;

/**
 * Job order in overload: for twelve seconds, jobs of five sizes are submitted at one and a half times the rate at which
 * a worker can run them. Compares how many jobs end in time, and of which sizes.
 */
final class JobQueueOrderOverloadTest {

    private static final Duration TICK = Duration.ofMillis(100);

    private static final Duration TASK_DURATION = Duration.ofSeconds(1);

    private static final long TASK_MILLICORES = 1_000;

    private static final long WORKER_MILLICORES = 40_000;

    private static final int JOB_COUNT = 60;

    /**
     * Numbers of tasks of the jobs, one job every other tick: 60 tasks of one second are submitted each second on
     * average, of which 40 fit on the worker.
     */
    private static final int[] TASK_COUNTS = {4, 4, 16, 8, 24, 4, 32, 8, 4, 16};

    private static final int LARGE_TASK_COUNT = 24;

    private static final Duration SIMULATED_TIME = Duration.ofSeconds(60);

    private final DurationEstimates estimates = new DurationEstimates();

    private final AverageJobWork averageWork = new AverageJobWork();

    private final ServiceShares shares = new ServiceShares();

    private final JobShares jobShares = new JobShares(shares, averageWork);

    private final WorkerState worker = OwnerFixtures.worker("w", WORKER_MILLICORES);

    private final List<Job> jobs = new ArrayList<>();

    private final List<Job> completedInTime = new ArrayList<>();

    /** Jobs that ended while they still had a value to their caller, in time or late. */
    private final List<Job> completedWithValue = new ArrayList<>();

    private void simulate(BiFunction<List<Job>, Instant, List<Job>> order) {
        int tick = 0;
        for (Instant now = OwnerFixtures.NOW;
                now.isBefore(OwnerFixtures.NOW.plus(SIMULATED_TIME));
                now = now.plus(TICK)) {
            if (tick % 2 == 0 && tick / 2 < JOB_COUNT) {
                submit(tick / 2, now);
            }
            tick++;
            endRuns(now);
            for (Job job : jobs) {
                jobShares.countIfDecided(job, now);
            }
            place(order, now);
        }
    }

    private void submit(int number, Instant now) {
        int taskCount = TASK_COUNTS[number % TASK_COUNTS.length];
        Job job = OwnerFixtures.job(
                "j" + number,
                OwnerFixtures.bestEffortStep("i", taskCount, TASK_MILLICORES, TASK_DURATION.toMillis()),
                now);
        averageWork.add(job.queue().name(), job.spec());
        jobShares.onAdmitted(job, jobShares.classify(job.id(), job.queue().name(), job.spec()));
        jobs.add(job);
    }

    private void endRuns(Instant now) {
        for (Run run : List.copyOf(worker.runs())) {
            if (!now.isBefore(run.placedAt().plus(TASK_DURATION))) {
                Job job = run.task().job();
                run.release(now);
                run.task().markDone();
                run.task().step().incrementDoneCount();
                if (job.allDone()) {
                    job.end(JobState.DONE, now);
                    recordCompletion(job, now);
                }
            }
        }
    }

    private void recordCompletion(Job job, Instant now) {
        Duration allowedDuration = Duration.between(job.submittedAt(), job.objective());
        if (!now.isAfter(job.objective())) {
            completedInTime.add(job);
        }
        if (!now.isAfter(job.submittedAt().plus(allowedDuration.multipliedBy(Job.MAX_LATENESS_FACTOR)))) {
            completedWithValue.add(job);
        }
    }

    private void place(BiFunction<List<Job>, Instant, List<Job>> order, Instant now) {
        List<Job> waiting = jobs.stream().filter(job -> !job.allDone()).toList();
        for (Job job : order.apply(waiting, now)) {
            for (Task task : job.step(0, 0).tasks()) {
                if (task.waiting(now) && worker.bestEffortMilliCores() + TASK_MILLICORES <= WORKER_MILLICORES) {
                    worker.add(task.place(worker, now));
                    job.markStarted();
                }
            }
        }
    }

    private static double completedShare(List<Job> completedWithValue, List<Job> all, int minTaskCount) {
        long submittedCount = all.stream()
                .filter(job -> job.step(0, 0).tasks().size() >= minTaskCount)
                .count();
        long completedCount = completedWithValue.stream()
                .filter(job -> job.step(0, 0).tasks().size() >= minTaskCount)
                .count();
        return (double) completedCount / submittedCount;
    }

    @Test
    void queueOrderCompletesMoreJobsInTimeThanFirstComeFirstServed() {
        simulate((waiting, now) -> waiting);
        int completedFirstComeFirstServed = completedInTime.size();
        jobs.clear();
        completedInTime.clear();
        simulate(new JobQueueOrder(estimates, averageWork, new ServiceShares())::sort);
        assertThat(completedInTime.size()).isGreaterThan(completedFirstComeFirstServed * 3 / 2);
    }

    @Test
    void largeJobsCompleteAtLeastHalfAsOftenAsAllJobs() {
        simulate(new JobQueueOrder(estimates, averageWork, new ServiceShares())::sort);
        assertThat(completedShare(completedWithValue, jobs, LARGE_TASK_COUNT))
                .isGreaterThan(completedShare(completedWithValue, jobs, 0) / 2);
    }

    /** Without a preference for classes that were served less, overload is at the cost of the largest jobs. */
    @Test
    void largeJobsCompleteInTimeMoreOftenWithSharesByClassAndAllJobsNearlyAsOften() {
        simulate(new JobQueueOrder(estimates, averageWork, new ServiceShares())::sort);
        JobQueueOrderOverloadTest withShares = new JobQueueOrderOverloadTest();
        withShares.simulate(new JobQueueOrder(withShares.estimates, withShares.averageWork, withShares.shares)::sort);
        assertThat(completedShare(withShares.completedInTime, withShares.jobs, LARGE_TASK_COUNT))
                .isGreaterThan(completedShare(completedInTime, jobs, LARGE_TASK_COUNT));
        assertThat(completedShare(withShares.completedInTime, withShares.jobs, 0))
                .isGreaterThan(0.95 * completedShare(completedInTime, jobs, 0));
    }
}
