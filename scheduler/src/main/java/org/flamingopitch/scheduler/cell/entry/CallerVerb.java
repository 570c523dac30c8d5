package org.flamingopitch.scheduler.cell.entry;

import org.flamingopitch.scheduler.cell.model.JobSpec;

/** What a caller wants of the job or queue that it names. */
public sealed interface CallerVerb {

    /**
     * Takes a job.
     *
     * @param spec what the caller submits
     */
    record Submit(JobSpec spec) implements CallerVerb {}

    /**
     * A submission that cannot be read.
     *
     * @param error what is wrong
     */
    record Malformed(String error) implements CallerVerb {}

    /** Tells the state of a job, or how many jobs of a queue wait. */
    record Ask() implements CallerVerb {}

    /** Cancels a job. */
    record Cancel() implements CallerVerb {}
}
