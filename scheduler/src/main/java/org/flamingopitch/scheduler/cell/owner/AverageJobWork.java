package org.flamingopitch.scheduler.cell.owner;

import java.util.HashMap;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/** Average work of the jobs of each queue, to which the size of a single job is compared. */
final class AverageJobWork {

    /** Minimum weight of the newest job in the average. */
    private static final double MIN_NEW_JOB_WEIGHT = 0.02;

    private final Map<QueueName, Average> averages = new HashMap<>();

    /** Adds a job to the average of its queue, with the caller's estimates. */
    void add(QueueName queue, JobSpec spec) {
        double work = 0;
        for (StepSpec step : spec.steps()) {
            work += (double) step.count()
                    * step.estimateMillis()
                    * step.demand().milliCores();
        }
        averages.computeIfAbsent(queue, key -> new Average()).add(work);
    }

    /** Returns the average work of a job in millicores times milliseconds, or 0 if the queue has had no job. */
    long of(QueueName queue) {
        Average average = averages.get(queue);
        return average == null ? 0 : (long) average.mean;
    }

    private static final class Average {

        private double mean;

        private int count;

        private void add(double value) {
            count++;
            mean += Math.max(MIN_NEW_JOB_WEIGHT, 1.0 / count) * (value - mean);
        }
    }
}
