package org.flamingopitch.scheduler.cell.entry;

import org.flamingopitch.scheduler.cell.model.JobSpec;

/** The operation that a caller requests for a job or a queue. */
public sealed interface CallerVerb {

    /**
     * Submits a job.
     *
     * @param spec the submitted job
     */
    record Submit(JobSpec spec) implements CallerVerb {}

    /**
     * A submission that could not be decoded.
     *
     * @param error what is wrong with the submission
     */
    record Malformed(String error) implements CallerVerb {}

    /** Queries the state of a job or, if the path names no job, the number of pending jobs of the queue. */
    record Ask() implements CallerVerb {}

    /** Cancels a job. */
    record Cancel() implements CallerVerb {}
}
