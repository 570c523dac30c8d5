package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/** A caller's request to the owner of the cell. */
public sealed interface JobRequest {

    /**
     * Submits a job.
     *
     * @param id the job
     * @param queue the queue as configured on the host that received the request
     * @param spec what the caller submitted
     */
    record Submit(JobId id, QueueSpec queue, JobSpec spec) implements JobRequest {}

    /**
     * Reads a job's state.
     *
     * @param id the job
     */
    record AskState(JobId id) implements JobRequest {}

    /**
     * Cancels a job.
     *
     * @param id the job
     */
    record Cancel(JobId id) implements JobRequest {}

    /**
     * Counts the jobs of a queue of which no task has been started.
     *
     * @param queue the queue
     */
    record AskPending(QueueName queue) implements JobRequest {}
}
