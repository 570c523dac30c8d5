package org.flamingopitch.scheduler.cell.entry;

import org.flamingopitch.scheduler.cell.model.JobSpec;

/** The operation that a caller requests for a job or a queue. */
public sealed interface CallerOperation {

    /**
     * Submits a job.
     *
     * @param spec the submitted job
     */
    record Submit(JobSpec spec) implements CallerOperation {}

    /**
     * A submission that could not be decoded.
     *
     * @param error what is wrong with the submission
     */
    record Malformed(String error) implements CallerOperation {}

    /** Queries the state of a job or, if the path names no job, the number of pending jobs of the queue. */
    record Ask() implements CallerOperation {}

    /** Cancels a job. */
    record Cancel() implements CallerOperation {}
}
