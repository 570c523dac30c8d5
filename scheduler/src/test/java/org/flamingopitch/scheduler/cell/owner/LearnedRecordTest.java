package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
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
        ServiceShares shares = new ServiceShares();
        shares.add(new QueueName("q"), SizeClass.LARGEST, 2, true, OwnerFixtures.NOW);
        LearnedRecord record = new LearnedRecord(estimates.records(), List.of(model.toRecord("web")), shares.records());
        LearnedRecord decoded = JsonCodec.compact().decode(JsonCodec.compact().encode(record), LearnedRecord.class);

        InterferenceModel successor = new InterferenceModel();
        successor.restore(decoded.responses().get(0));
        DurationEstimates successorEstimates = new DurationEstimates();
        successorEstimates.restore(decoded.durations());
        assertThat(decoded.shares()).isEqualTo(shares.records());
        assertThat(successor.cost("heavy")).isCloseTo(model.cost("heavy"), within(0.001));
        assertThat(successor.isCostKnown("heavy")).isTrue();
        assertThat(successorEstimates.expectedMillis(new QueueName("q"), 1_000)).isEqualTo(1_600);
    }

    @Test
    void recordOfAFormerVersionWithoutSharesIsRead() {
        LearnedRecord decoded = JsonCodec.compact()
                .decode("{\"durations\":[{\"queue\":\"q\",\"ratio\":1.5}],\"responses\":[]}", LearnedRecord.class);
        assertThat(decoded.durations()).hasSize(1);
        assertThat(decoded.shares()).isEmpty();
    }
}
