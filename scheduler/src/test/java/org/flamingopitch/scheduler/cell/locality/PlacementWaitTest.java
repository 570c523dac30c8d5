package org.flamingopitch.scheduler.cell.locality;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Decisions for tasks of 800 ms that take three times as long on another rack, so that a far placement costs 1.6 s. */
final class PlacementWaitTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static final Duration DURATION = Duration.ofMillis(800);

    private static final double FAR_FACTOR = 3;

    private static final Duration LATE_OBJECTIVE = Duration.ofSeconds(60);

    private final PlacementWait rule = new PlacementWait();

    private static WaitSituation situation(
            Long expectedWaitMillis, long waitedMillis, Duration untilObjective, long siblingsEndMillis) {
        return new WaitSituation(
                false,
                true,
                Optional.ofNullable(expectedWaitMillis).map(Duration::ofMillis),
                DURATION,
                FAR_FACTOR,
                Duration.ofMillis(waitedMillis),
                untilObjective,
                Duration.ofMillis(siblingsEndMillis));
    }

    private PlacementDecision decide(Long expectedWaitMillis, long waitedMillis) {
        return rule.decide(situation(expectedWaitMillis, waitedMillis, LATE_OBJECTIVE, 0), NOW);
    }

    @Test
    void waitThatCostsLessThanAFarPlacementIsMade() {
        assertThat(decide(500L, 0)).isEqualTo(new PlacementDecision.WaitForRack(NOW.plusMillis(500)));
    }

    @Test
    void waitThatCostsMoreThanAFarPlacementIsNotMade() {
        assertThat(decide(1_700L, 0)).isEqualTo(new PlacementDecision.PlaceFar());
    }

    @Test
    void waitThatASmallErrorOfThePredictionWouldMakeUselessIsNotMade() {
        assertThat(decide(900L, 0)).isEqualTo(new PlacementDecision.PlaceFar());
    }

    @Test
    void rackThatIsNotExpectedToBecomeFreeIsNotWaitedFor() {
        assertThat(decide(null, 0)).isEqualTo(new PlacementDecision.PlaceFar());
    }

    @Test
    void correctPredictionIsWaitedForToItsEnd() {
        for (long waited = 0; waited < 790; waited += 10) {
            assertThat(decide(790 - waited, waited)).isInstanceOf(PlacementDecision.WaitForRack.class);
        }
    }

    @Test
    void predictionThatKeepsMovingLaterEndsTheWaitBeforeItCostsMoreThanAFarPlacement() {
        long waited = 0;
        while (decide(100L, waited) instanceof PlacementDecision.WaitForRack) {
            waited += 10;
        }
        assertThat(waited).isBetween(1_000L, 1_600L);
    }

    @Test
    void freeWorkerInTheRackIsUsedAtOnce() {
        WaitSituation free = new WaitSituation(
                true, true, Optional.empty(), DURATION, FAR_FACTOR, Duration.ZERO, LATE_OBJECTIVE, Duration.ZERO);
        assertThat(rule.decide(free, NOW)).isEqualTo(new PlacementDecision.PlaceNear());
    }

    @Test
    void rackWithoutUsableWorkersEndsTheWait() {
        WaitSituation lost = new WaitSituation(
                false,
                false,
                Optional.of(Duration.ofMillis(10)),
                DURATION,
                FAR_FACTOR,
                Duration.ZERO,
                LATE_OBJECTIVE,
                Duration.ZERO);
        assertThat(rule.decide(lost, NOW)).isEqualTo(new PlacementDecision.PlaceFar());
    }

    @Test
    void objectiveThatOnlyAFarPlacementMeetsIsMet() {
        // Siblings end in 10 s, so that a wait of 2 s would cost the step no time.
        Duration untilObjective = Duration.ofMillis(2_500);
        assertThat(rule.decide(situation(2_000L, 0, untilObjective, 10_000), NOW))
                .isEqualTo(new PlacementDecision.PlaceFar());
    }

    @Test
    void waitThatEndsBeforeLongRunningSiblingsSavesCapacity() {
        assertThat(rule.decide(situation(2_000L, 0, LATE_OBJECTIVE, 10_000), NOW))
                .isInstanceOf(PlacementDecision.WaitForRack.class);
        assertThat(rule.decide(situation(2_000L, 0, LATE_OBJECTIVE, 2_300), NOW))
                .isEqualTo(new PlacementDecision.PlaceFar());
    }
}
