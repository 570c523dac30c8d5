package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.flamingopitch.scheduler.cell.owner.CompetingQueuesSimulation.Statistics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares what the callers of competing queues get under bursts, with the capacity of a queue and with the former
 * estimate.
 */
final class CompetingQueuesTest {

    private static Statistics simulate(double burstFactor, boolean formerCapacity) {
        return new CompetingQueuesSimulation(burstFactor, formerCapacity).simulate();
    }

    /** Best-effort tasks that fill the workers must not be a reason to reject urgent jobs. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 1.6, 2.6})
    void moreJobsOfBothQueuesAreServedInTimeThanWithTheRateOfCompletion(double burstFactor) {
        Statistics former = simulate(burstFactor, true);
        Statistics now = simulate(burstFactor, false);
        String outcomes = "former " + former + ", now " + now;
        assertThat(now.urgentInTime()).as(outcomes).isGreaterThan(former.urgentInTime());
        assertThat(now.bestEffortInTime()).as(outcomes).isGreaterThanOrEqualTo(former.bestEffortInTime());
    }
}
