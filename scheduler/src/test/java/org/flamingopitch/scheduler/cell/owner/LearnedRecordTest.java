package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.junit.jupiter.api.Test;

/** A successor takes over what the owner before it had learned. */
final class LearnedRecordTest {

    @Test
    void successorKnowsCostsAndDurations() {
        ResponseModel model = new ResponseModel();
        for (int i = 0; i < 5; i++) {
            model.observe(2.4, 0.9, Map.of("heavy", 0.1), 0.25);
        }
        DurationEstimates estimates = new DurationEstimates();
        estimates.learn(new QueueName("q"), 1_000, 1_600);
        LearnedRecord record = new LearnedRecord(estimates.records(), List.of(model.record("web")));
        LearnedRecord read = JsonCodec.compact().decode(JsonCodec.compact().encode(record), LearnedRecord.class);

        ResponseModel successor = new ResponseModel();
        successor.restore(read.responses().get(0));
        DurationEstimates successorEstimates = new DurationEstimates();
        successorEstimates.restore(read.durations());
        assertThat(successor.cost("heavy")).isCloseTo(model.cost("heavy"), within(0.001));
        assertThat(successor.known("heavy")).isTrue();
        assertThat(successorEstimates.expectedMillis(new QueueName("q"), 1_000)).isEqualTo(1_600);
    }
}
