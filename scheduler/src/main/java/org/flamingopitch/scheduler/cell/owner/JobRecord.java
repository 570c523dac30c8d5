package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/**
 * The stored record of a submitted job.
 *
 * @param queue the queue as it was configured at the time of the submission
 * @param submittedMillis when it was submitted, in milliseconds since 1970
 * @param spec what the caller submitted
 */
record JobRecord(QueueSpec queue, long submittedMillis, JobSpec spec) {}
