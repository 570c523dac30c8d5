package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.speculation.DurationDistribution;

/**
 * Corrects the callers' estimates of task durations by the average ratio of actual to estimated duration in each queue;
 * callers' estimates may be wrong by up to 90 %. Keeps the distribution of that ratio too, for single runs that take
 * much longer than expected.
 */
final class DurationEstimates {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Weight of the newest run in the average ratio. */
    private static final double NEW_RUN_WEIGHT = 0.05;

    /** Bounds the memory and the stored record, as the names of queues change; the least recently used ones go first. */
    private static final int MAX_DISTRIBUTIONS = 32;

    private static final double MEDIAN = 0.5;

    /**
     * By queue, the sum of the durations divided by the sum of the estimates. Each run counts by its estimate: the plain
     * mean of the ratios is far too high where single estimates are far too low.
     */
    private final Map<QueueName, Double> ratios = new HashMap<>();

    private final Map<QueueName, Double> averageEstimates = new HashMap<>();

    /** By queue, the least recently used first. */
    private final Map<QueueName, DurationDistribution> distributions = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * By queue, the ratios of durations to the median of their step. The estimate of a whole step may be wrong, so these
     * vary less. Not stored: a successor learns them anew from 50 runs.
     */
    private final Map<QueueName, DurationDistribution> withinSteps = new LinkedHashMap<>(16, 0.75f, true);

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
        double averageEstimate = averageEstimates.getOrDefault(queue, (double) estimateMillis);
        double weight = Math.min(1, NEW_RUN_WEIGHT * estimateMillis / averageEstimate);
        ratios.put(queue, averageRatio + weight * (ratio - averageRatio));
        averageEstimates.put(queue, averageEstimate + NEW_RUN_WEIGHT * (estimateMillis - averageEstimate));
        return averageRatio <= 0 ? 1 : ratio / averageRatio;
    }

    /** Adds a run, whose whole duration is known, to the distribution of a queue. */
    void recordDuration(QueueName queue, long estimateMillis, long actualMillis) {
        if (estimateMillis <= 0) {
            return;
        }
        record(distributions, queue, (double) actualMillis / estimateMillis);
    }

    /** Adds a run to the distribution of the ratios of durations to the median of their step. */
    void recordWithinStep(QueueName queue, long medianMillis, long actualMillis) {
        if (medianMillis > 0) {
            record(withinSteps, queue, (double) actualMillis / medianMillis);
        }
    }

    private static void record(Map<QueueName, DurationDistribution> byQueue, QueueName queue, double ratio) {
        byQueue.computeIfAbsent(queue, name -> new DurationDistribution()).record(ratio);
        removeUnused(byQueue);
    }

    private static void removeUnused(Map<QueueName, DurationDistribution> byQueue) {
        if (byQueue.size() > MAX_DISTRIBUTIONS) {
            byQueue.remove(byQueue.keySet().iterator().next());
        }
    }

    /** Returns the average ratios and the distributions, to be stored. */
    List<LearnedRecord.Duration> records() {
        Map<QueueName, DurationDistribution> copies = new HashMap<>(distributions);
        List<LearnedRecord.Duration> records = new ArrayList<>();
        ratios.forEach((queue, ratio) -> {
            DurationDistribution distribution = copies.getOrDefault(queue, new DurationDistribution());
            records.add(
                    new LearnedRecord.Duration(queue, ratio, distribution.encodeRecent(), distribution.encodeFormer()));
        });
        return records;
    }

    /** Restores the average ratios and the distributions that a previous owner stored. */
    void restore(List<LearnedRecord.Duration> records) {
        for (LearnedRecord.Duration record : records) {
            ratios.put(record.queue(), record.ratio());
            restoreDistribution(record);
        }
    }

    /** Restores a distribution; one that cannot be read is learned anew. */
    private void restoreDistribution(LearnedRecord.Duration record) {
        try {
            DurationDistribution distribution =
                    DurationDistribution.decode(record.recentRatios(), record.formerRatios());
            if (distribution.runs() > 0) {
                distributions.put(record.queue(), distribution);
                removeUnused(distributions);
            }
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().log(
                    "event=distribution_unreadable queue=%s detail=\"%s\"", record.queue(), e.getMessage());
        }
    }

    long expectedMillis(QueueName queue, long estimateMillis) {
        return (long) (estimateMillis * ratios.getOrDefault(queue, 1.0));
    }

    /** Returns the distribution of the ratio of actual to estimated duration in a queue; empty if there were no runs. */
    DurationDistribution distribution(QueueName queue) {
        DurationDistribution distribution = distributions.get(queue);
        return distribution == null ? new DurationDistribution() : distribution;
    }

    /** Returns the distribution of the ratios of durations to the median of their step; empty if there were no runs. */
    DurationDistribution withinSteps(QueueName queue) {
        DurationDistribution distribution = withinSteps.get(queue);
        return distribution == null ? new DurationDistribution() : distribution;
    }

    /** Returns the duration that the given share of the runs with this estimate does not exceed. */
    long quantileMillis(QueueName queue, long estimateMillis, double quantile) {
        return (long) (estimateMillis * distribution(queue).quantile(quantile));
    }

    /** Returns the median duration of the runs with this estimate. */
    long medianMillis(QueueName queue, long estimateMillis) {
        return quantileMillis(queue, estimateMillis, MEDIAN);
    }

    /** Returns how much longer a run is expected to last that has lasted for a given time. */
    long expectedRemainingMillis(QueueName queue, long estimateMillis, long elapsedMillis) {
        if (estimateMillis <= 0) {
            return 0;
        }
        double elapsed = (double) elapsedMillis / estimateMillis;
        return (long) (estimateMillis * distribution(queue).expectedRemaining(elapsed));
    }
}
