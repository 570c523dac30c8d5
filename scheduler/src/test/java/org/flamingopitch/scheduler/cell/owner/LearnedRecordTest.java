package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.junit.jupiter.api.Test;

/** The statistics that an owner stores are complete when its successor restores them. */
final class LearnedRecordTest {

    @Test
    void restoredStatisticsHaveTheSameCostsAndDurations() {
        InterferenceModel model = new InterferenceModel();
        for (int i = 0; i < 5; i++) {
            model.updateCosts(2.4, 0.9, Map.of("heavy", 0.1), 0.25);
        }
        DurationEstimates estimates = new DurationEstimates();
        estimates.recordRun(new QueueName("q"), 1_000, 1_600);
        LearnedRecord record = new LearnedRecord(estimates.records(), List.of(model.toRecord("web")));
        LearnedRecord decoded = JsonCodec.compact().decode(JsonCodec.compact().encode(record), LearnedRecord.class);

        InterferenceModel successor = new InterferenceModel();
        successor.restore(decoded.responses().get(0));
        DurationEstimates successorEstimates = new DurationEstimates();
        successorEstimates.restore(decoded.durations());
        assertThat(successor.cost("heavy")).isCloseTo(model.cost("heavy"), within(0.001));
        assertThat(successor.isCostKnown("heavy")).isTrue();
        assertThat(successorEstimates.expectedMillis(new QueueName("q"), 1_000)).isEqualTo(1_600);
    }
}
