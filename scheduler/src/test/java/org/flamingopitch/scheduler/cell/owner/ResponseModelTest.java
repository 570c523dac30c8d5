package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Load: rough figures of serving tasks beside two filling images that never run alone. */
final class ResponseModelTest {

    private static final double ALONE = 2.4;

    private static final double HEAVY = 15;

    private static final double LIGHT = 0.5;

    private static final double VARIANCE = 0.25;

    private final ResponseModel model = new ResponseModel();

    private final SplittableRandom random = new SplittableRandom(7);

    private void observe(double heavyShare, double lightShare) {
        double slack = ALONE - heavyShare * HEAVY - lightShare * LIGHT + random.nextGaussian() / 4;
        model.observe(ALONE, Math.max(0.05, slack), Map.of("heavy", heavyShare, "light", lightShare), VARIANCE);
    }

    @Test
    void tellsTwoImagesApartThatRunTogether() {
        for (int i = 0; i < 40; i++) {
            observe(0.02 + 0.1 * random.nextDouble(), 0.3 * random.nextDouble());
        }
        assertThat(model.cost("heavy")).isBetween(HEAVY - 3, HEAVY + 3);
        assertThat(model.cost("light")).isLessThan(LIGHT + 1.5);
    }

    @Test
    void oneFigureShowsThatAnImageIsHeavy() {
        double before = model.uncertainty("heavy");
        model.observe(ALONE, 0.1, Map.of("heavy", 0.1), VARIANCE);
        assertThat(model.cost("heavy")).isGreaterThan(10);
        assertThat(model.uncertainty("heavy")).isLessThan(before / 1.5);
    }

    @Test
    void saturatedFigureDoesNotMakeAHeavyImageLight() {
        for (int i = 0; i < 20; i++) {
            observe(0.1, 0);
        }
        double before = model.cost("heavy");
        model.observe(ALONE, 0.05, Map.of("heavy", 0.6), VARIANCE);
        assertThat(model.cost("heavy")).isEqualTo(before);
    }
}
