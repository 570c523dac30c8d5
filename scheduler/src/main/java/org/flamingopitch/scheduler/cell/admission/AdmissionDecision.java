package org.flamingopitch.scheduler.cell.admission;

import java.time.Duration;

/**
 * Whether a job is admitted, with the inputs that decided it.
 *
 * @param outcome the outcome
 * @param inputs the inputs
 * @param waitMillis the expected time until the work ahead of the job and its own are done, in milliseconds
 * @param retryDelay when the caller should submit a rejected job again; zero if the job is admitted
 */
public record AdmissionDecision(
        AdmissionOutcome outcome, AdmissionInputs inputs, long waitMillis, Duration retryDelay) {

    private static final long MILLICORES_PER_CORE = 1_000;

    /**
     * Returns whether the job is admitted.
     *
     * @return whether it is admitted
     */
    public boolean admitted() {
        return outcome == AdmissionOutcome.ADMITTED;
    }

    /**
     * Returns the inputs and the outcome as the fields of a log line.
     *
     * @return the fields
     */
    public String logFields() {
        return String.format(
                "reason=%s wait_ms=%d work_ahead_core_ms=%d capacity_cores=%.1f critical_path_ms=%d allowed_ms=%d "
                        + "retry_ms=%d share=%.2f",
                outcome.label(),
                waitMillis,
                inputs.workAhead() / MILLICORES_PER_CORE,
                (double) inputs.capacityMilliCores() / MILLICORES_PER_CORE,
                inputs.criticalPathMillis(),
                inputs.allowedMillis(),
                retryDelay.toMillis(),
                inputs.share());
    }
}
