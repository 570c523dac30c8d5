package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
import org.junit.jupiter.api.Test;

/** Order of waiting jobs with several tasks each, when the workers can run only some of the tasks at a time. */
final class JobQueueOrderTest {

    private static final long TASK_MILLIS = 1_000;

    private final DurationEstimates estimates = new DurationEstimates();

    private final AverageJobWork averageWork = new AverageJobWork();

    private final ServiceShares shares = new ServiceShares();

    private final JobQueueOrder order = new JobQueueOrder(estimates, averageWork, shares);

    private Job job(String id, int tasks, Duration age) {
        Job job = OwnerFixtures.job(
                id, OwnerFixtures.bestEffortStep("i", tasks, 1_000, TASK_MILLIS), OwnerFixtures.NOW.minus(age));
        averageWork.add(job.queue().name(), job.spec());
        return job;
    }

    private List<Job> sort(Job... jobs) {
        return order.sort(List.of(jobs), OwnerFixtures.NOW);
    }

    @Test
    void startedJobPrecedesASmallerNewJob() {
        Job started = job("a", 8, Duration.ofMillis(100));
        started.markStarted();
        Job smaller = job("b", 4, Duration.ZERO);
        assertThat(sort(smaller, started)).containsExactly(started, smaller);
    }

    /** Otherwise the class that loses in one burst loses in all. */
    @Test
    void jobOfAClassThatWasServedLessPrecedesASlightlySmallerJobButNotAStartedOne() {
        Job small = job("a", 8, Duration.ZERO);
        Job large = job("b", 10, Duration.ZERO);
        Job started = job("c", 12, Duration.ZERO);
        started.markStarted();
        large.setSizeClass(SizeClass.LARGEST);
        assertThat(sort(large, small, started)).containsExactly(started, small, large);
        for (int i = 0; i < 10; i++) {
            shares.add(large.queue().name(), SizeClass.REGULAR, 1, true, OwnerFixtures.NOW);
            shares.add(large.queue().name(), SizeClass.LARGEST, 1, false, OwnerFixtures.NOW);
        }
        assertThat(sort(large, small, started)).containsExactly(started, large, small);
    }

    @Test
    void lateJobFollowsAJobThatCanMeetItsObjective() {
        Job late = job("a", 8, Duration.ofSeconds(4));
        late.markStarted();
        Job fresh = job("b", 8, Duration.ZERO);
        assertThat(sort(late, fresh)).containsExactly(fresh, late);
    }

    @Test
    void lateJobWithOneTaskLeftPrecedesANewJob() {
        Job late = job("a", 10, Duration.ofSeconds(4));
        late.markStarted();
        for (int i = 0; i < 9; i++) {
            late.step(0, 0).incrementDoneCount();
        }
        Job fresh = job("b", 10, Duration.ZERO);
        assertThat(sort(fresh, late)).containsExactly(late, fresh);
    }

    @Test
    void jobWithoutValueToItsCallerComesLast() {
        Job expired = job("a", 1, Duration.ofSeconds(20));
        Job late = job("b", 20, Duration.ofSeconds(4));
        assertThat(sort(expired, late)).containsExactly(late, expired);
    }

    @Test
    void startedLargeJobPrecedesAllNewSmallJobs() {
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            jobs.add(job("s" + i, 8, Duration.ZERO));
            jobs.add(job("l" + i, 16, Duration.ofMillis(i)));
        }
        jobs.stream().filter(job -> job.id().value().equals("l7")).forEach(Job::markStarted);
        assertThat(order.sort(jobs, OwnerFixtures.NOW).get(0).id().value()).isEqualTo("l7");
    }
}
