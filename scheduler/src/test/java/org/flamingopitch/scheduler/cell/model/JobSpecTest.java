package org.flamingopitch.scheduler.cell.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A job whose numbers are too large for the arithmetic on them must be rejected before it is stored. */
final class JobSpecTest {

    private static final long YEAR_3000_MILLIS = 32_503_680_000_000L;

    private static JobSpec job(int repeatCount, long firstDueMillis, long intervalMillis, StepSpec... steps) {
        return new JobSpec("work", List.of(steps), repeatCount, firstDueMillis, intervalMillis);
    }

    private static StepSpec step(int count) {
        return new StepSpecBuilder().count(count).build();
    }

    /** Each successor would run out of memory when it loads the job. */
    static Stream<JobSpec> jobsWithTooManyTasks() {
        int max = Integer.MAX_VALUE;
        return Stream.of(
                job(0, 0, 0, step(10_001)),
                job(max, 0, 0, step(max)),
                job(max, 0, 0, step(max), step(max), step(max)),
                job(max, 0, 0, step(max), step(max), step(max), step(max), step(5)));
    }

    @ParameterizedTest
    @MethodSource("jobsWithTooManyTasks")
    void tooManyTasksAreRejectedAlsoIfTheirNumberOverflows(JobSpec job) {
        assertThat(job.validationError()).contains("tasks");
    }

    /** A due time that overflows is in the past, so that the occurrence would start at once. */
    static Stream<JobSpec> jobsWithOverflowingDueTimes() {
        return Stream.of(
                job(2, Long.MAX_VALUE, 1, step(1)),
                job(3, YEAR_3000_MILLIS, Long.MAX_VALUE / 2, step(1)),
                job(10_000, 0, Long.MAX_VALUE / 5_000, step(1)));
    }

    @ParameterizedTest
    @MethodSource("jobsWithOverflowingDueTimes")
    void dueTimesThatOverflowAreRejected(JobSpec job) {
        assertThat(job.validationError()).contains("due");
    }

    @Test
    void distantDueTimesAreAccepted() {
        assertThat(job(10_000, YEAR_3000_MILLIS, YEAR_3000_MILLIS, step(1)).validationError())
                .isNull();
    }

    /** Admission and the order of the queue would take a job with negative work for the smallest one. */
    @Test
    void estimatedWorkThatOverflowsIsTheLargestWork() {
        StepSpec step = new StepSpecBuilder()
                .count(10_000)
                .estimateMillis(Integer.MAX_VALUE)
                .demand(new Resources(Integer.MAX_VALUE, 1, 0))
                .build();
        assertThat(job(0, 0, 0, step).estimatedWork()).isEqualTo(Long.MAX_VALUE);
        assertThat(job(0, 0, 0, step, step).estimatedWork()).isEqualTo(Long.MAX_VALUE);
    }
}
