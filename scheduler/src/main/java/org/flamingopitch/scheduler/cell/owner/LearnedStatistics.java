package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/** What an owner has learned from the jobs and runs so far; most of it is stored for the next owner. */
final class LearnedStatistics {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final DurationEstimates estimates = new DurationEstimates();

    private final InterferenceEstimator interference = new InterferenceEstimator();

    private final AverageJobWork averageJobWork = new AverageJobWork();

    private final ServiceShares shares = new ServiceShares();

    private final JobShares jobShares;

    private final CompletionRate bestEffortCompletionRate;

    private final FeatureGates gates;

    LearnedStatistics(Instant now, FeatureGates gates) {
        this.gates = gates;
        jobShares = new JobShares(shares, averageJobWork, gates);
        bestEffortCompletionRate = new CompletionRate(now);
    }

    DurationEstimates estimates() {
        return estimates;
    }

    InterferenceEstimator interference() {
        return interference;
    }

    JobShares jobShares() {
        return jobShares;
    }

    /** Returns the rate at which best-effort work completes. */
    CompletionRate bestEffortCompletionRate() {
        return bestEffortCompletionRate;
    }

    /** Creates the order in which waiting jobs are placed. */
    JobQueueOrder queueOrder() {
        return new JobQueueOrder(estimates, averageJobWork, shares, gates);
    }

    /** Takes note of a job that was admitted. */
    void onAdmitted(Job job) {
        averageJobWork.add(job.queue().name(), job.spec());
    }

    /** Takes note of a job that was restored from its records. */
    void onRestored(Job job, Instant now) {
        averageJobWork.add(job.queue().name(), job.spec());
        jobShares.onRestored(job, now);
    }

    /** Adds the work of a task that is done to the rate of completion, if it is best-effort. */
    void recordCompletedWork(Task task, Instant now) {
        StepSpec spec = task.step().spec();
        if (spec.fills()) {
            long expectedMillis = estimates.expectedMillis(task.job().queue().name(), spec.estimateMillis());
            bestEffortCompletionRate.add(spec.demand().milliCores() * expectedMillis, now);
        }
    }

    /** Returns what is stored for the next owner. */
    LearnedRecord record() {
        return new LearnedRecord(estimates.records(), interference.records(), shares.records());
    }

    /** Restores what a former owner stored; statistics that cannot be restored are learned anew. */
    void restore(LearnedRecord record) {
        restorePart("durations", () -> estimates.restore(record.durations()));
        restorePart("responses", () -> interference.restore(record.responses()));
        restorePart("shares", () -> shares.restore(record.shares()));
    }

    /** An exception here would end the ownership, and that of each successor, which reads the same record. */
    private static void restorePart(String name, Runnable restoration) {
        try {
            restoration.run();
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("event=statistics_unreadable part=%s", name);
        }
    }
}
