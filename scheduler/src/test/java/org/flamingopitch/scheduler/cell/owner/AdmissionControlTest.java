package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingopitch.scheduler.cell.admission.AdmissionDecision;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/** Admission and job order when more jobs wait than the workers can complete by the jobs' objectives. */
final class AdmissionControlTest {

    /** Work that completes each millisecond, in millicores. */
    private static final long CAPACITY_MILLICORES = 10_000;

    /** Processor time of all workers, in millicores. */
    private static final long TOTAL_MILLICORES = 40_000;

    private static final long TASK_MILLIS = 1_000;

    private static final int TASK_COUNT = 10;

    private static final StepSpec SHORT_STEP = new StepSpecBuilder()
            .count(TASK_COUNT)
            .demand(new Resources(100, 10, 0))
            .estimateMillis(TASK_MILLIS)
            .build();

    private final DurationEstimates estimates = new DurationEstimates();

    private Job job(int number, Instant at) {
        return OwnerFixtures.job("j" + number, OwnerFixtures.bestEffortStep("i", TASK_COUNT, 1_000, TASK_MILLIS), at);
    }

    private Optional<Duration> retryDelay(JobSpec spec, List<Job> jobs) {
        return Optional.of(decide(spec, jobs))
                .filter(decision -> !decision.admitted())
                .map(AdmissionDecision::retryDelay);
    }

    private AdmissionDecision decide(JobSpec spec, List<Job> jobs) {
        return decide(spec, jobs, 1);
    }

    private AdmissionDecision decide(JobSpec spec, List<Job> jobs, double boost) {
        return AdmissionControl.decide(
                new JobId("j"),
                spec,
                OwnerFixtures.queue(),
                jobs,
                CAPACITY_MILLICORES,
                TOTAL_MILLICORES,
                1,
                boost,
                estimates,
                OwnerFixtures.NOW);
    }

    @Test
    void jobThatCanMeetItsObjectiveIsAdmitted() {
        assertThat(retryDelay(job(0, OwnerFixtures.NOW).spec(), List.of())).isEmpty();
    }

    /** Estimates that are too low in the whole queue are no reason to reject a job that need not wait. */
    @Test
    void jobIsNotRejectedOnAnIdleServiceBecauseItsQueueUnderestimatesItsTasks() {
        JobSpec spec = new JobSpec("work", List.of(SHORT_STEP), 0, 0, 0);
        for (int i = 0; i < 200; i++) {
            estimates.recordRun(OwnerFixtures.queue().name(), TASK_MILLIS, 5 * TASK_MILLIS);
        }
        assertThat(retryDelay(spec, List.of())).isEmpty();
    }

    @Test
    void jobThatWouldEndLongAfterItsObjectiveIsRejectedWithARetryDelay() {
        List<Job> waiting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            waiting.add(job(i, OwnerFixtures.NOW));
        }
        assertThat(retryDelay(job(99, OwnerFixtures.NOW).spec(), waiting))
                .hasValueSatisfying(retry -> assertThat(retry).isBetween(Duration.ofSeconds(1), Duration.ofSeconds(8)));
    }

    /** A rejection that cannot be recalculated from its log line cannot be explained afterwards. */
    @Test
    void refusedLineHasAllInputsThatDecidedIt() {
        List<Job> waiting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            waiting.add(job(i, OwnerFixtures.NOW));
        }
        assertThat(decide(job(99, OwnerFixtures.NOW).spec(), waiting).logFields())
                .isEqualTo("reason=backlog wait_ms=41000 work_ahead_core_ms=410000 capacity_cores=10.0 "
                        + "critical_path_ms=1000 allowed_ms=4200 retry_ms=7000 share=1.00");
    }

    /** A class that was served less waits longer before it is rejected, so that it is not rejected for ever. */
    @Test
    void jobOfAClassThatWasServedLessMayWaitLonger() {
        List<Job> waiting = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            waiting.add(job(i, OwnerFixtures.NOW));
        }
        JobSpec spec = job(99, OwnerFixtures.NOW).spec();
        assertThat(decide(spec, waiting, 1).admitted()).isFalse();
        assertThat(decide(spec, waiting, 2).admitted()).isTrue();
    }

    @Test
    void smallJobIsAdmittedWhileLargeJobsWait() {
        List<Job> waiting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            waiting.add(job(i, OwnerFixtures.NOW));
        }
        Job small = OwnerFixtures.job("s", OwnerFixtures.bestEffortStep("i", 1, 500, TASK_MILLIS), OwnerFixtures.NOW);
        assertThat(retryDelay(small.spec(), waiting)).isEmpty();
    }

    @Test
    void longRunningJobIsRejectedWhenShortJobsWouldLackCapacity() {
        JobSpec longRunning = OwnerFixtures.job(
                        "l", OwnerFixtures.latencyCriticalStep("web", 10_000, 40), OwnerFixtures.NOW)
                .spec();
        List<Job> running = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            assertThat(retryDelay(longRunning, running)).isEmpty();
            running.add(OwnerFixtures.job(
                    "l" + i, OwnerFixtures.latencyCriticalStep("web", 10_000, 40), OwnerFixtures.NOW));
        }
        assertThat(retryDelay(longRunning, running)).isPresent();
        assertThat(retryDelay(job(0, OwnerFixtures.NOW).spec(), running)).isEmpty();
    }

    @Test
    void queueOrderCompletesMoreJobsInTimeThanFirstComeFirstServed() {
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int size = i % 3 == 0 ? 30 : 3;
            jobs.add(OwnerFixtures.job(
                    "j" + i, OwnerFixtures.bestEffortStep("i", size, 1_000, TASK_MILLIS), OwnerFixtures.NOW));
        }
        AverageJobWork averageWork = new AverageJobWork();
        jobs.forEach(job -> averageWork.add(job.queue().name(), job.spec()));
        List<Job> ordered =
                new JobQueueOrder(estimates, averageWork, new ServiceShares()).sort(jobs, OwnerFixtures.NOW);
        assertThat(countInTime(ordered)).isGreaterThan(countInTime(jobs));
    }

    /** Returns the number of jobs that end by their objective if they run one after the other in the given order. */
    private long countInTime(List<Job> jobs) {
        long end = 0;
        long count = 0;
        for (Job job : jobs) {
            end += JobQueueOrder.remainingWork(job, estimates) / CAPACITY_MILLICORES;
            count += OwnerFixtures.NOW.plusMillis(end).isAfter(job.objective()) ? 0 : 1;
        }
        return count;
    }
}
