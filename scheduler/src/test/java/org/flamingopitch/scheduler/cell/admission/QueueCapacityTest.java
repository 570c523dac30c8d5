package org.flamingopitch.scheduler.cell.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/** A capacity that is too high admits jobs that end late, one that is too low rejects jobs that would end in time. */
final class QueueCapacityTest {

    private static final int URGENT = 0;

    private static final int NORMAL = 1;

    private static final int LOW = 2;

    private static JobSpec job(long milliCores, long memoryMegabytes, boolean bestEffort) {
        StepSpec step = new StepSpecBuilder()
                .count(10)
                .demand(new Resources(milliCores, memoryMegabytes, 0))
                .estimateMillis(800)
                .fills(bestEffort)
                .build();
        return new JobSpec("work", List.of(step), 0, 0, 0);
    }

    private static long capacity(JobSpec job, Resources... workers) {
        QueueCapacity capacity = new QueueCapacity(job);
        List.of(workers).forEach(capacity::add);
        return capacity.milliCores();
    }

    @Test
    void workerCountsByItsScarcerResource() {
        JobSpec urgent = job(3_900, 7_800, false);
        assertThat(capacity(urgent, new Resources(6_400, 73_000, 0))).isEqualTo(6_400);
        assertThat(capacity(urgent, new Resources(32_000, 15_600, 0))).isEqualTo(7_800);
    }

    @Test
    void workerWithoutCapacityForATaskDoesNotCount() {
        JobSpec urgent = job(3_900, 7_800, false);
        assertThat(capacity(urgent, new Resources(3_800, 73_000, 0), new Resources(6_400, 7_700, 0)))
                .isZero();
    }

    @Test
    void bestEffortTasksOfALowerPriorityLeaveTheCapacityOfAQueueUnchanged() {
        assertThat(new CapacityClaim(false, true, LOW).reducesCapacityFor(false, URGENT))
                .isFalse();
        assertThat(new CapacityClaim(false, true, LOW).reducesCapacityFor(false, LOW))
                .isTrue();
        assertThat(new CapacityClaim(false, true, URGENT).reducesCapacityFor(false, LOW))
                .isTrue();
    }

    @Test
    void longRunningTasksAndTasksOfAHigherPriorityReduceTheCapacityOfAQueue() {
        assertThat(new CapacityClaim(true, false, LOW).reducesCapacityFor(false, URGENT))
                .isTrue();
        assertThat(new CapacityClaim(false, false, URGENT).reducesCapacityFor(false, NORMAL))
                .isTrue();
        assertThat(new CapacityClaim(false, false, NORMAL).reducesCapacityFor(false, NORMAL))
                .isFalse();
        assertThat(new CapacityClaim(false, false, LOW).reducesCapacityFor(false, NORMAL))
                .isFalse();
    }

    @Test
    void anyReservationReducesTheCapacityForBestEffortJobs() {
        assertThat(new CapacityClaim(false, false, LOW).reducesCapacityFor(true, URGENT))
                .isTrue();
        assertThat(new CapacityClaim(false, true, URGENT).reducesCapacityFor(true, LOW))
                .isFalse();
    }
}
