package org.flamingopitch.scheduler.cell.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Instant;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.junit.jupiter.api.Test;

/** A class of jobs that is served less than the others must be preferred, within bounds, until it has caught up. */
final class ServiceSharesTest {

    private static final QueueName QUEUE = new QueueName("q");

    private static final QueueName OTHER_QUEUE = new QueueName("other");

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private final ServiceShares shares = new ServiceShares();

    private void add(SizeClass sizeClass, int served, int notServed, Instant now) {
        for (int i = 0; i < served + notServed; i++) {
            shares.add(QUEUE, sizeClass, 1, i < served, now);
        }
    }

    @Test
    void jobsAreClassifiedByTheirRankAmongTheLastJobsOfTheirQueue() {
        for (int work = 1; work <= 199; work++) {
            shares.classify(QUEUE, work);
        }
        assertThat(shares.classify(QUEUE, 1_000)).isEqualTo(SizeClass.LARGEST);
        assertThat(shares.classify(QUEUE, 165)).isEqualTo(SizeClass.LARGE);
        assertThat(shares.classify(QUEUE, 50)).isEqualTo(SizeClass.REGULAR);
        for (int i = 0; i < 200; i++) {
            shares.classify(QUEUE, 2_000);
        }
        assertThat(shares.classify(QUEUE, 1_000)).isEqualTo(SizeClass.REGULAR);
    }

    @Test
    void equalJobsAreOfOneClass() {
        for (int i = 0; i < 50; i++) {
            assertThat(shares.classify(QUEUE, 10)).isEqualTo(SizeClass.REGULAR);
        }
    }

    @Test
    void classThatIsServedLessThanTheAverageGetsAHigherWeightOfAtMostTwo() {
        add(SizeClass.REGULAR, 90, 10, NOW);
        add(SizeClass.LARGE, 16, 8, NOW);
        add(SizeClass.LARGEST, 1, 19, NOW);
        assertThat(shares.boost(QUEUE, SizeClass.REGULAR)).isEqualTo(1);
        assertThat(shares.boost(QUEUE, SizeClass.LARGE)).isBetween(1.05, 1.3);
        assertThat(shares.boost(QUEUE, SizeClass.LARGEST)).isEqualTo(2);
        assertThat(shares.share(QUEUE, SizeClass.LARGEST)).isLessThan(0.25);
    }

    @Test
    void singleJobOfARareClassDecidesLittle() {
        add(SizeClass.REGULAR, 20, 0, NOW);
        add(SizeClass.LARGEST, 0, 1, NOW);
        assertThat(shares.boost(QUEUE, SizeClass.LARGEST)).isLessThan(1.6);
    }

    @Test
    void classWithoutJobsAndClassesThatAreServedAlikeKeepTheirWeight() {
        add(SizeClass.REGULAR, 10, 10, NOW);
        add(SizeClass.LARGEST, 5, 5, NOW);
        assertThat(shares.boost(QUEUE, SizeClass.LARGEST)).isCloseTo(1, within(0.001));
        assertThat(shares.boost(OTHER_QUEUE, SizeClass.LARGEST)).isEqualTo(1);
        assertThat(new ServiceShares().share(QUEUE, SizeClass.REGULAR)).isEqualTo(1);
    }

    /** Old outcomes must not outweigh what happens now. */
    @Test
    void outcomesLoseHalfOfTheirWeightInTenSeconds() {
        add(SizeClass.LARGEST, 0, 16, NOW);
        add(SizeClass.REGULAR, 32, 0, NOW.plusSeconds(10));
        assertThat(shares.records())
                .contains(
                        new ServiceShares.Stored(QUEUE, SizeClass.LARGEST, 8, 0),
                        new ServiceShares.Stored(QUEUE, SizeClass.REGULAR, 32, 32));
    }

    /** Queues come and go with the configuration; their sums must not fill the memory and the stored record. */
    @Test
    void sumsOfAQueueWithoutJobsAreDropped() {
        add(SizeClass.REGULAR, 1, 0, NOW);
        shares.add(OTHER_QUEUE, SizeClass.REGULAR, 1, true, NOW.plusSeconds(200));
        assertThat(shares.records()).containsExactly(new ServiceShares.Stored(OTHER_QUEUE, SizeClass.REGULAR, 1, 1));
    }

    @Test
    void successorContinuesWithTheStoredSums() {
        add(SizeClass.REGULAR, 90, 10, NOW);
        add(SizeClass.LARGEST, 1, 19, NOW);
        ServiceShares successor = new ServiceShares();
        successor.restore(shares.records());
        assertThat(successor.share(QUEUE, SizeClass.LARGEST))
                .isCloseTo(shares.share(QUEUE, SizeClass.LARGEST), within(0.001));
    }
}
