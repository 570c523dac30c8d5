package org.flamingopitch.scheduler.cell.admission;

/**
 * What decides whether a job is admitted.
 *
 * @param workAhead the work to be done by the end of the job, its own included, in millicores times milliseconds
 * @param capacityMilliCores the work that the workers can complete for the queue each millisecond, in millicores
 * @param criticalPathMillis the expected duration of the job without waiting
 * @param allowedMillis the time that the job may take
 * @param share the share of its value that the job's class was served, relative to that of all classes
 */
public record AdmissionInputs(
        long workAhead, long capacityMilliCores, long criticalPathMillis, long allowedMillis, double share) {

    /** Inputs of a decision that does not depend on the load. */
    public static final AdmissionInputs NONE = new AdmissionInputs(0, 0, 0, 0, 1);
}
