package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.junit.jupiter.api.Test;

/** Load: a flood of jobs at three times what the workers end, and what its callers get. */
final class AdmissionTest {

    /** Work that ends each millisecond, in thousandths of a core. */
    private static final long CAPACITY = 10_000;

    /** The processors of all workers, in thousandths of a core. */
    private static final long TOTAL = 40_000;

    private static final long TASK_MILLIS = 1_000;

    private static final int TASKS = 10;

    private final DurationEstimates estimates = new DurationEstimates();

    private Job job(int number, Instant at) {
        return OwnerFixtures.job("j" + number, OwnerFixtures.fillStep("i", TASKS, 1_000, TASK_MILLIS), at);
    }

    private Optional<Duration> ask(JobSpec spec, List<Job> jobs) {
        return Admission.refusal(spec, OwnerFixtures.queue(), jobs, CAPACITY, TOTAL, estimates, OwnerFixtures.NOW);
    }

    @Test
    void takesJobsWhileTheyCanBeInTime() {
        assertThat(ask(job(0, OwnerFixtures.NOW).spec(), List.of())).isEmpty();
    }

    @Test
    void refusesAtOnceWhatWouldEndLongAfterItsObjective() {
        List<Job> waiting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            waiting.add(job(i, OwnerFixtures.NOW));
        }
        assertThat(ask(job(99, OwnerFixtures.NOW).spec(), waiting))
                .hasValueSatisfying(retry -> assertThat(retry).isBetween(Duration.ofSeconds(1), Duration.ofSeconds(8)));
    }

    @Test
    void smallJobsAreTakenWhileLargeOnesWait() {
        List<Job> waiting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            waiting.add(job(i, OwnerFixtures.NOW));
        }
        Job small = OwnerFixtures.job("s", OwnerFixtures.fillStep("i", 1, 500, TASK_MILLIS), OwnerFixtures.NOW);
        assertThat(ask(small.spec(), waiting)).isEmpty();
    }

    @Test
    void lastingJobsLeaveRoomForShortOnes() {
        JobSpec lasting = OwnerFixtures.job("l", OwnerFixtures.servingStep("web", 10_000, 40), OwnerFixtures.NOW)
                .spec();
        List<Job> serving = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            assertThat(ask(lasting, serving)).isEmpty();
            serving.add(OwnerFixtures.job("l" + i, OwnerFixtures.servingStep("web", 10_000, 40), OwnerFixtures.NOW));
        }
        assertThat(ask(lasting, serving)).isPresent();
        assertThat(ask(job(0, OwnerFixtures.NOW).spec(), serving)).isEmpty();
    }

    @Test
    void moreCallersAreServedInTimeThanByFirstComeFirstServed() {
        List<Job> flood = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int size = i % 3 == 0 ? 30 : 3;
            flood.add(OwnerFixtures.job(
                    "j" + i, OwnerFixtures.fillStep("i", size, 1_000, TASK_MILLIS), OwnerFixtures.NOW));
        }
        MeanWork meanWork = new MeanWork();
        flood.forEach(job -> meanWork.add(job.queue().name(), job.spec()));
        List<Job> ordered = new JobOrder(estimates, meanWork).sort(flood, OwnerFixtures.NOW);
        assertThat(inTime(ordered)).isGreaterThan(inTime(flood));
    }

    /** Counts the jobs that end by their objective if they are served one after the other. */
    private long inTime(List<Job> jobs) {
        long end = 0;
        long count = 0;
        for (Job job : jobs) {
            end += JobOrder.workLeft(job, estimates) / CAPACITY;
            count += OwnerFixtures.NOW.plusMillis(end).isAfter(job.objective()) ? 0 : 1;
        }
        return count;
    }
}
