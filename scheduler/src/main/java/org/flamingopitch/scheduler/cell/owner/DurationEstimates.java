package org.flamingopitch.scheduler.cell.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.QueueName;

/** Learns how far the callers' estimates are off, by queue; answers estimates that are wrong by up to 90 %. */
final class DurationEstimates {

    /** Weight of the newest run in the average. */
    private static final double SMOOTHING = 0.05;

    private final Map<QueueName, Double> ratios = new HashMap<>();

    /** Notes a run that was done; returns how many times as long as expected it took. */
    double learn(QueueName queue, long estimateMillis, long actualMillis) {
        if (estimateMillis <= 0) {
            return 1;
        }
        double ratio = (double) actualMillis / estimateMillis;
        double expected = ratios.getOrDefault(queue, ratio);
        ratios.put(queue, expected * (1 - SMOOTHING) + ratio * SMOOTHING);
        return expected <= 0 ? 1 : ratio / expected;
    }

    /** Returns what was learned, to be kept. */
    List<LearnedRecord.Duration> records() {
        List<LearnedRecord.Duration> records = new ArrayList<>();
        ratios.forEach((queue, ratio) -> records.add(new LearnedRecord.Duration(queue, ratio)));
        return records;
    }

    /** Takes over what another owner learned. */
    void restore(List<LearnedRecord.Duration> records) {
        records.forEach(record -> ratios.put(record.queue(), record.ratio()));
    }

    long expectedMillis(QueueName queue, long estimateMillis) {
        return (long) (estimateMillis * ratios.getOrDefault(queue, 1.0));
    }
}
