package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/**
 * What the store keeps of a submission.
 *
 * @param queue the queue as it was configured at the time of the submission
 * @param submittedMillis when it came, in milliseconds since 1970
 * @param spec what the caller submitted
 */
record JobRecord(QueueSpec queue, long submittedMillis, JobSpec spec) {}
