package org.flamingopitch.scheduler.cell.port;

import java.time.Duration;

/** Receives what the cell's owner measures of admissions. */
public interface AdmissionMetrics {

    /** Discards all measurements. */
    AdmissionMetrics NONE = new AdmissionMetrics() {
        @Override
        public void recordAdmission(int priority, String outcome) {}

        @Override
        public void recordAdmissionWait(Duration expectedWait) {}

        @Override
        public void recordPreemption() {}
    };

    /**
     * Counts a submission.
     *
     * @param priority the priority of its queue
     * @param outcome the outcome
     */
    void recordAdmission(int priority, String outcome);

    /**
     * Records the expected wait of a job whose admission depended on the load.
     *
     * @param expectedWait the time until the work ahead of the job and its own are done
     */
    void recordAdmissionWait(Duration expectedWait);

    /** Counts a run of a best-effort task that is stopped for a task of a higher priority. */
    void recordPreemption();
}
