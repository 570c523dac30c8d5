package org.flamingopitch.scheduler.cell.speculation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against answers about single runs that the recorded runs do not support. */
final class DurationDistributionTest {

    private final DurationDistribution distribution = new DurationDistribution();

    private void recordRuns(int count, double shortest, double longest, double stragglerShare) {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < count; i++) {
            double ratio = shortest + random.nextDouble() * (longest - shortest);
            distribution.record(random.nextDouble() < stragglerShare ? 7 * ratio : ratio);
        }
    }

    @Test
    void runThatHasOutlastedTheOrdinaryOnesIsExpectedToBeAStraggler() {
        recordRuns(800, 0.9, 1.1, 0.03);
        assertThat(distribution.quantile(0.5)).isCloseTo(1, within(0.07));
        assertThat(distribution.expectedRemaining(0)).isCloseTo(1.18, within(0.1));
        assertThat(distribution.expectedRemaining(0.5)).isCloseTo(0.68, within(0.1));
        assertThat(distribution.expectedRemaining(1.2)).isCloseTo(5.6, within(0.6));
    }

    @Test
    void runThatHasOutlastedAllOthersIsExpectedToTakeTwiceItsTime() {
        recordRuns(100, 0.9, 1.1, 0);
        assertThat(distribution.expectedRemaining(3)).isCloseTo(3, within(0.001));
    }

    @Test
    void oldRunsAreForgotten() {
        recordRuns(1_000, 4, 5, 0);
        recordRuns(2 * DurationDistribution.RUNS_PER_HISTOGRAM, 0.9, 1.1, 0);
        assertThat(distribution.quantile(1)).isLessThan(1.2);
        assertThat(distribution.runs()).isLessThanOrEqualTo(2L * DurationDistribution.RUNS_PER_HISTOGRAM);
    }

    @Test
    void fewRunsDoNotCountAsKnown() {
        recordRuns(49, 0.9, 1.1, 0);
        assertThat(distribution.known()).isFalse();
        distribution.record(1);
        assertThat(distribution.known()).isTrue();
    }

    @Test
    void storedDistributionIsCompactAndGivesTheSameAnswers() {
        recordRuns(900, 0.1, 1.9, 0.03);
        String recent = distribution.encodeRecent();
        String former = distribution.encodeFormer();
        DurationDistribution restored = DurationDistribution.decode(recent, former);
        assertThat(recent.length() + former.length()).isLessThan(600);
        assertThat(restored.runs()).isEqualTo(900);
        for (double elapsed : new double[] {0, 0.5, 1, 2, 5, 9}) {
            assertThat(restored.expectedRemaining(elapsed)).isEqualTo(distribution.expectedRemaining(elapsed));
            assertThat(restored.quantile(elapsed / 9)).isEqualTo(distribution.quantile(elapsed / 9));
        }
    }

    @Test
    void emptyDistributionIsStoredAsNothing() {
        assertThat(distribution.encodeRecent()).isNull();
        assertThat(DurationDistribution.decode(null, null).runs()).isZero();
        assertThat(distribution.quantile(0.5)).isEqualTo(1);
        assertThat(distribution.expectedRemaining(0)).isZero();
    }

    @Test
    void textThatIsNoHistogramIsRejected() {
        for (String text : new String[] {"", "a", "?", "AAAA", "HISTFAAAACJ4nJNpmQ"}) {
            assertThatThrownBy(() -> DurationDistribution.decode(text, null))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Test
    void extremeRatiosAreLimited() {
        distribution.record(0);
        distribution.record(1e12);
        assertThat(distribution.quantile(0)).isPositive();
        assertThat(distribution.quantile(1)).isLessThan(1_100);
    }
}
