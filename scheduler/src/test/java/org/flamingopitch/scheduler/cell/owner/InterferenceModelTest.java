package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Noisy measurements of latency-critical tasks beside two best-effort images that never run alone. */
final class InterferenceModelTest {

    private static final double HEADROOM_ALONE = 2.4;

    /** By how much the headroom ratio falls per unit of the worker's processor time that the image uses. */
    private static final double HEAVY_COST = 15;

    /** As {@link #HEAVY_COST}, for the image that interferes little. */
    private static final double LIGHT_COST = 0.5;

    /** The variance of the measured headroom ratio that is passed to the model. */
    private static final double VARIANCE = 0.25;

    private final InterferenceModel model = new InterferenceModel();

    private final SplittableRandom random = new SplittableRandom(7);

    private void addMeasurement(double heavyShare, double lightShare) {
        double headroom =
                HEADROOM_ALONE - heavyShare * HEAVY_COST - lightShare * LIGHT_COST + random.nextGaussian() / 4;
        model.updateCosts(
                HEADROOM_ALONE, Math.max(0.05, headroom), Map.of("heavy", heavyShare, "light", lightShare), VARIANCE);
    }

    @Test
    void costsOfTwoImagesThatRunTogetherAreSeparated() {
        for (int i = 0; i < 40; i++) {
            addMeasurement(0.02 + 0.1 * random.nextDouble(), 0.3 * random.nextDouble());
        }
        assertThat(model.cost("heavy")).isBetween(HEAVY_COST - 3, HEAVY_COST + 3);
        assertThat(model.cost("light")).isLessThan(LIGHT_COST + 1.5);
    }

    @Test
    void oneMeasurementRaisesTheCostOfAHeavyImage() {
        double before = model.costDeviation("heavy");
        model.updateCosts(HEADROOM_ALONE, 0.1, Map.of("heavy", 0.1), VARIANCE);
        assertThat(model.cost("heavy")).isGreaterThan(10);
        assertThat(model.costDeviation("heavy")).isLessThan(before / 1.5);
    }

    @Test
    void saturatedMeasurementDoesNotLowerTheCostOfAHeavyImage() {
        for (int i = 0; i < 20; i++) {
            addMeasurement(0.1, 0);
        }
        double before = model.cost("heavy");
        model.updateCosts(HEADROOM_ALONE, 0.05, Map.of("heavy", 0.6), VARIANCE);
        assertThat(model.cost("heavy")).isEqualTo(before);
    }
}
