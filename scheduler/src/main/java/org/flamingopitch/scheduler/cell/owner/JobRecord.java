package org.flamingopitch.scheduler.cell.owner;

import java.util.Objects;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/**
 * The stored record of a submitted job.
 *
 * @param queue the queue as it was configured at the time of the submission
 * @param submittedMillis when it was submitted, in milliseconds since 1970
 * @param spec what the caller submitted
 */
record JobRecord(QueueSpec queue, long submittedMillis, JobSpec spec) {

    /** Rejects a record without a queue or a specification. */
    JobRecord {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(spec, "spec");
    }

    /**
     * Returns this record if the job can be restored from it.
     *
     * @throws IllegalArgumentException if it cannot
     */
    JobRecord requireRestorable() {
        String error = spec.structureError();
        if (error != null) {
            throw new IllegalArgumentException(error);
        }
        return this;
    }
}
