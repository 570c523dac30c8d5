package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/** What a caller asks of the owner of the cell. */
public sealed interface JobRequest {

    /**
     * Takes a job.
     *
     * @param id the job
     * @param queue the queue as the asked host knows it
     * @param spec what the caller submitted
     */
    record Submit(JobId id, QueueSpec queue, JobSpec spec) implements JobRequest {}

    /**
     * Tells a job's state.
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
     * Counts the jobs of a queue that wait.
     *
     * @param queue the queue
     */
    record AskPending(QueueName queue) implements JobRequest {}
}
