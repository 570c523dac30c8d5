package org.flamingopitch.scheduler.cell.owner;

import java.util.HashMap;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/** Learns how much work the jobs of a queue need on average, so that the size of one can be told. */
final class MeanWork {

    /** Weight of the newest job, once there are enough. */
    private static final double SMOOTHING = 0.02;

    private final Map<QueueName, Average> averages = new HashMap<>();

    /** Notes a job, by its estimates. */
    void add(QueueName queue, JobSpec spec) {
        double work = 0;
        for (StepSpec step : spec.steps()) {
            work += (double) step.count()
                    * step.estimateMillis()
                    * step.demand().milliCores();
        }
        averages.computeIfAbsent(queue, key -> new Average()).add(work);
    }

    /** Returns the mean in thousandths of a core times milliseconds, or 0 if no job was seen. */
    long of(QueueName queue) {
        Average average = averages.get(queue);
        return average == null ? 0 : (long) average.mean;
    }

    private static final class Average {

        private double mean;

        private int count;

        private void add(double value) {
            count++;
            mean += Math.max(SMOOTHING, 1.0 / count) * (value - mean);
        }
    }
}
