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

    private static Statistics simulate(double burstFactor, boolean formerCapacity, boolean withShares) {
        return new CompetingQueuesSimulation(burstFactor, formerCapacity, withShares).simulate();
    }

    /** Best-effort tasks that fill the workers must not be a reason to reject urgent jobs. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 1.6, 2.6})
    void moreJobsOfBothQueuesAreServedInTimeThanWithTheRateOfCompletion(double burstFactor) {
        Statistics former = simulate(burstFactor, true, false);
        Statistics now = simulate(burstFactor, false, false);
        String outcomes = "former " + former + ", now " + now;
        assertThat(now.urgentInTime()).as(outcomes).isGreaterThan(former.urgentInTime());
        assertThat(now.bestEffortInTime()).as(outcomes).isGreaterThanOrEqualTo(former.bestEffortInTime());
    }

    /** A preference for classes that were served less must not cost the others what it gives to these. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 1.6, 2.6})
    void sharesByClassCostNoQueueAndNoLargeJobsTheirService(double burstFactor) {
        Statistics without = simulate(burstFactor, false, false);
        Statistics with = simulate(burstFactor, false, true);
        String outcomes = "without " + without + ", with " + with;
        assertThat(with.urgentInTime()).as(outcomes).isGreaterThanOrEqualTo(without.urgentInTime());
        assertThat(with.bestEffortInTime()).as(outcomes).isGreaterThanOrEqualTo(without.bestEffortInTime());
        assertThat(with.urgentLargeShare()).as(outcomes).isGreaterThanOrEqualTo(without.urgentLargeShare());
        assertThat(with.bestEffortLargeShare()).as(outcomes).isGreaterThanOrEqualTo(without.bestEffortLargeShare());
    }
}
