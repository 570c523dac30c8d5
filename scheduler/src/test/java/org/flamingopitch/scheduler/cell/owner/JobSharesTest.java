package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.junit.jupiter.api.Test;

/** A job that is counted twice, or whose outcome is open, would distort what its class was served. */
final class JobSharesTest {

    private static final Instant NOW = OwnerFixtures.NOW;

    private static final Duration ALLOWED = Duration.ofSeconds(3);

    private final ServiceShares shares = new ServiceShares();

    private final AverageJobWork averageWork = new AverageJobWork();

    private final JobShares jobShares = new JobShares(shares, averageWork);

    private Job admit(String id, Instant at) {
        Job job = OwnerFixtures.job(id, OwnerFixtures.bestEffortStep("i", 10, 1_000, 1_000), at);
        averageWork.add(job.queue().name(), job.spec());
        jobShares.onAdmitted(job, jobShares.classify(job.id(), job.queue().name(), job.spec()));
        return job;
    }

    private void assertCounted(double requested, double served) {
        List<ServiceShares.Stored> records = shares.records();
        assertThat(records.stream().mapToDouble(ServiceShares.Stored::requested).sum())
                .isEqualTo(requested);
        assertThat(records.stream().mapToDouble(ServiceShares.Stored::served).sum())
                .isEqualTo(served);
    }

    @Test
    void jobThatEndsInTimeCountsOnceAsServed() {
        Job job = admit("a", NOW);
        jobShares.countIfDecided(job, NOW.plusSeconds(1));
        assertCounted(0, 0);
        job.end(JobState.DONE, NOW.plusSeconds(2));
        jobShares.countIfDecided(job, NOW.plusSeconds(2));
        jobShares.countIfDecided(job, NOW.plusSeconds(2));
        assertCounted(1, 1);
    }

    @Test
    void jobThatIsStillOpenAtItsObjectiveCountsAsNotServed() {
        Job job = admit("a", NOW);
        Instant late = NOW.plus(ALLOWED).plusMillis(1);
        jobShares.countIfDecided(job, late);
        assertCounted(1, 0);
        job.end(JobState.DONE, late);
        jobShares.countIfDecided(job, late);
        assertCounted(1, 0);
    }

    @Test
    void jobThatItsCallerCancelsInTimeIsNotCounted() {
        Job job = admit("a", NOW);
        job.end(JobState.CANCELLED, NOW.plusSeconds(1));
        jobShares.countIfDecided(job, NOW.plusSeconds(10));
        assertCounted(0, 0);
    }

    @Test
    void retriesOfARejectedJobAreNotCountedAgain() {
        Job job = OwnerFixtures.job("a", OwnerFixtures.bestEffortStep("i", 10, 1_000, 1_000), NOW);
        averageWork.add(job.queue().name(), job.spec());
        for (int i = 0; i < 3; i++) {
            SizeClass sizeClass = jobShares.classify(job.id(), job.queue().name(), job.spec());
            jobShares.onRejected(job.id(), job.queue().name(), job.spec(), sizeClass, NOW);
        }
        assertCounted(1, 0);
    }
}
