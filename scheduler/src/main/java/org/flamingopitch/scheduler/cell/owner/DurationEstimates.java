package org.flamingopitch.scheduler.cell.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.QueueName;

/**
 * Corrects the callers' estimates of task durations by the average ratio of actual to estimated duration in each queue;
 * callers' estimates may be wrong by up to 90 %.
 */
final class DurationEstimates {

    /** Weight of the newest run in the average ratio. */
    private static final double NEW_RUN_WEIGHT = 0.05;

    private final Map<QueueName, Double> ratios = new HashMap<>();

    /**
     * Updates the average ratio of a queue with a completed run; returns the run's ratio divided by the average ratio
     * before it.
     */
    double recordRun(QueueName queue, long estimateMillis, long actualMillis) {
        if (estimateMillis <= 0) {
            return 1;
        }
        double ratio = (double) actualMillis / estimateMillis;
        double averageRatio = ratios.getOrDefault(queue, ratio);
        ratios.put(queue, averageRatio * (1 - NEW_RUN_WEIGHT) + ratio * NEW_RUN_WEIGHT);
        return averageRatio <= 0 ? 1 : ratio / averageRatio;
    }

    /** Returns the average ratios, to be stored. */
    List<LearnedRecord.Duration> records() {
        List<LearnedRecord.Duration> records = new ArrayList<>();
        ratios.forEach((queue, ratio) -> records.add(new LearnedRecord.Duration(queue, ratio)));
        return records;
    }

    /** Restores the average ratios that a previous owner stored. */
    void restore(List<LearnedRecord.Duration> records) {
        records.forEach(record -> ratios.put(record.queue(), record.ratio()));
    }

    long expectedMillis(QueueName queue, long estimateMillis) {
        return (long) (estimateMillis * ratios.getOrDefault(queue, 1.0));
    }
}
