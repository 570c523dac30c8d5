package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.junit.jupiter.api.Test;

/** Estimates that are wrong by up to 90 % either way must not make all tasks of a queue look long. */
final class DurationEstimatesTest {

    private static final QueueName QUEUE = new QueueName("q");

    private static final double MAX_ERROR = 0.9;

    @Test
    void averageIsNotRaisedBySingleEstimatesThatAreFarTooLow() {
        SplittableRandom random = new SplittableRandom(7);
        DurationEstimates estimates = new DurationEstimates();
        double sum = 0;
        int samples = 4_000;
        for (int i = 0; i < samples; i++) {
            double error = 1 + MAX_ERROR * (2 * random.nextDouble() - 1);
            estimates.recordRun(QUEUE, Math.round(1_000 * error), 1_000);
            sum += estimates.expectedMillis(QUEUE, 1_000);
        }
        assertThat(sum / samples).isCloseTo(1_000, within(150.0));
    }
}
