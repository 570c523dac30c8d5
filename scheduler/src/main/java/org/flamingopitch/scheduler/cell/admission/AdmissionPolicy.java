package org.flamingopitch.scheduler.cell.admission;

import java.time.Duration;

/**
 * Decides on the admission of jobs when more work is submitted than the workers can complete in time. A job is rejected
 * if it would end long after its objective (the time by which it should end), and its caller is told when to retry.
 */
public final class AdmissionPolicy {

    /**
     * A job is rejected if its expected duration exceeds this multiple of the allowed one. It is above 1 because
     * estimates err in both directions.
     */
    public static final double MAX_DURATION_FACTOR = 1.4;

    /**
     * Maximum share of the workers' processor time that long-running tasks may reserve. The rest is for short tasks and
     * for the loss of workers.
     */
    private static final double MAX_LONG_RUNNING_SHARE = 0.85;

    /** Long-running jobs do not release capacity soon. */
    private static final Duration LONG_RUNNING_RETRY_DELAY = Duration.ofSeconds(8);

    private AdmissionPolicy() {}

    /**
     * Returns the decision on a job that the load has no influence on.
     *
     * @return the admission
     */
    public static AdmissionDecision admit() {
        return new AdmissionDecision(AdmissionOutcome.ADMITTED, AdmissionInputs.NONE, 0, Duration.ZERO);
    }

    /**
     * Decides on a job with short tasks. Without any capacity the expected wait is unknown and the job is admitted; that
     * is so after a takeover, until the first workers have reported.
     *
     * @param inputs the inputs
     * @param jobId the job's id, over which retries are spread
     * @return the decision
     */
    public static AdmissionDecision decide(AdmissionInputs inputs, String jobId) {
        if (inputs.capacityMilliCores() <= 0) {
            return new AdmissionDecision(AdmissionOutcome.ADMITTED, inputs, 0, Duration.ZERO);
        }
        long waitMillis = inputs.workAhead() / inputs.capacityMilliCores();
        long excessMillis = waitMillis + inputs.criticalPathMillis() - inputs.allowedMillis();
        if (excessMillis <= 0) {
            return new AdmissionDecision(AdmissionOutcome.ADMITTED, inputs, waitMillis, Duration.ZERO);
        }
        return new AdmissionDecision(
                AdmissionOutcome.BACKLOG, inputs, waitMillis, RetryDelay.of(Duration.ofMillis(excessMillis), jobId));
    }

    /**
     * Decides on a long-running job. Such a job is not queued: it would wait for capacity that other long-running jobs
     * do not release soon.
     *
     * @param reservedMilliCores what the long-running jobs reserve, the new one included
     * @param totalMilliCores the processor time of all workers
     * @param jobId the job's id, over which retries are spread
     * @return the decision; its capacity is what long-running tasks may reserve
     */
    public static AdmissionDecision decideLongRunning(long reservedMilliCores, long totalMilliCores, String jobId) {
        long limit = (long) (MAX_LONG_RUNNING_SHARE * totalMilliCores);
        boolean rejected = totalMilliCores > 0 && reservedMilliCores > MAX_LONG_RUNNING_SHARE * totalMilliCores;
        AdmissionInputs inputs = new AdmissionInputs(0, limit, 0, 0, 1);
        return rejected
                ? new AdmissionDecision(
                        AdmissionOutcome.LONG_RUNNING_SHARE, inputs, 0, RetryDelay.of(LONG_RUNNING_RETRY_DELAY, jobId))
                : new AdmissionDecision(AdmissionOutcome.ADMITTED, inputs, 0, Duration.ZERO);
    }
}
