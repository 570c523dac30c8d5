package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.LinkedHashMap;
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
    void restoredDistributionAnswersAsTheOneThatWasStored() {
        QueueName queue = new QueueName("q");
        DurationEstimates estimates = new DurationEstimates();
        for (int i = 0; i < 700; i++) {
            estimates.recordRun(queue, 1_000, i % 33 == 0 ? 7_000 : 1_000);
            estimates.recordDuration(queue, 1_000, i % 33 == 0 ? 7_000 : 1_000);
        }
        LearnedRecord record = new LearnedRecord(estimates.records(), List.of(), List.of());
        LearnedRecord decoded = JsonCodec.compact().decode(JsonCodec.compact().encode(record), LearnedRecord.class);
        DurationEstimates successor = new DurationEstimates();
        successor.restore(decoded.durations());
        assertThat(successor.expectedMillis(queue, 1_000)).isEqualTo(estimates.expectedMillis(queue, 1_000));
        assertThat(successor.medianMillis(queue, 1_000)).isCloseTo(1_000, within(60L));
        assertThat(successor.expectedRemainingMillis(queue, 1_000, 1_200)).isCloseTo(5_700, within(400L));
        assertThat(successor.distribution(queue).runs()).isEqualTo(700);
    }

    /** Images come and go; a record of all of them would reach the size that the store rejects. */
    @Test
    void recordOfManyImagesIsBounded() {
        InterferenceEstimator estimator = new InterferenceEstimator();
        for (int i = 0; i < 300; i++) {
            WorkerState worker = OwnerFixtures.worker("w" + i, 16_000);
            for (int j = 0; j < 3; j++) {
                Job filler = OwnerFixtures.job(
                        "f" + i + "." + j,
                        OwnerFixtures.bestEffortStep("filler" + (3 * i + j), 1, 4_000, 60_000),
                        OwnerFixtures.NOW);
                OwnerFixtures.run(OwnerFixtures.task(filler), worker, 1);
            }
            Job service = OwnerFixtures.job(
                    "s" + i, OwnerFixtures.latencyCriticalStep("service" + i % 100, 1_000, 2), OwnerFixtures.NOW);
            OwnerFixtures.run(OwnerFixtures.task(service), worker, 1);
            estimator.update(worker, OwnerFixtures.NOW);
        }
        LearnedRecord record = new LearnedRecord(List.of(), estimator.records(), List.of());
        assertThat(JsonCodec.compact().encode(record).length()).isLessThan(TransactionBuilder.MAX_BYTES);
        assertThat(record.responses())
                .extracting(LearnedRecord.Response::serving)
                .contains("service99");
        InterferenceModel model = new InterferenceModel();
        for (int i = 0; i < 500; i++) {
            model.updateCosts(2.4, 0.9, Map.of("heavy" + i, 0.1), 0.25);
        }
        assertThat(model.toRecord("web").costs()).hasSize(InterferenceModel.MAX_IMAGES);
        assertThat(model.isCostKnown("heavy499")).isTrue();
        assertThat(model.isCostKnown("heavy0")).isFalse();
        Map<String, Double> manyShares = new LinkedHashMap<>();
        for (int i = 0; i < 2 * InterferenceModel.MAX_IMAGES; i++) {
            manyShares.put("tiny" + i, 0.01);
        }
        model.updateCosts(2.4, 0.9, manyShares, 0.25);
        assertThat(model.toRecord("web").costs()).hasSize(InterferenceModel.MAX_IMAGES);
    }

    @Test
    void recordWithoutADistributionIsRead() {
        LearnedRecord decoded =
                JsonCodec.compact().decode("{\"durations\":[{\"queue\":\"q\",\"ratio\":1.5}]}", LearnedRecord.class);
        DurationEstimates successor = new DurationEstimates();
        successor.restore(decoded.durations());
        assertThat(successor.expectedMillis(new QueueName("q"), 1_000)).isEqualTo(1_500);
        assertThat(successor.distribution(new QueueName("q")).known()).isFalse();
    }

    @Test
    void distributionThatCannotBeReadDoesNotBlockTheOtherStatistics() {
        DurationEstimates successor = new DurationEstimates();
        successor.restore(List.of(
                new LearnedRecord.Duration(new QueueName("q"), 1.5, "AAAA", null),
                new LearnedRecord.Duration(new QueueName("r"), 2, null, null)));
        assertThat(successor.expectedMillis(new QueueName("q"), 1_000)).isEqualTo(1_500);
        assertThat(successor.expectedMillis(new QueueName("r"), 1_000)).isEqualTo(2_000);
    }

    /** Queues come and go with the configuration; their distributions must not fill the memory and the store. */
    @Test
    void distributionsOfManyQueuesAreBounded() {
        DurationEstimates estimates = new DurationEstimates();
        for (int i = 0; i < 200; i++) {
            estimates.recordDuration(new QueueName("q" + i), 1_000, 1_000);
            estimates.recordDuration(new QueueName("used"), 1_000, 1_000);
        }
        assertThat(estimates.distribution(new QueueName("q0")).runs()).isZero();
        assertThat(estimates.distribution(new QueueName("q199")).runs()).isEqualTo(1);
        assertThat(estimates.distribution(new QueueName("used")).runs()).isEqualTo(200);
    }

    @Test
    void recordOfAFormerVersionWithoutSharesIsRead() {
        LearnedRecord decoded = JsonCodec.compact()
                .decode("{\"durations\":[{\"queue\":\"q\",\"ratio\":1.5}],\"responses\":[]}", LearnedRecord.class);
        assertThat(decoded.durations()).hasSize(1);
        assertThat(decoded.shares()).isEmpty();
    }
}
