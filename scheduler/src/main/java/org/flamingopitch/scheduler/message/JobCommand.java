package org.flamingopitch.scheduler.message;

import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;

/** A command of a caller for a job. */
public sealed interface JobCommand {

    /**
     * Returns the idempotency key that identifies the job.
     *
     * @return the key
     */
    IdempotencyKey job();

    /**
     * Submits a job. A second submission with the same key creates no job and returns the state of the first.
     *
     * @param job the key
     * @param kind the kind of work
     * @param payload the input of the work
     */
    record Submit(IdempotencyKey job, KindName kind, Payload payload) implements JobCommand {}

    /**
     * Queries the state of the job.
     *
     * @param job the key
     */
    record Query(IdempotencyKey job) implements JobCommand {}

    /**
     * Cancels the job.
     *
     * @param job the key
     */
    record CancelJob(IdempotencyKey job) implements JobCommand {}

    /**
     * Stops the job's running task after a checkpoint, and lets the job resume on another worker.
     *
     * @param job the key
     */
    record Evict(IdempotencyKey job) implements JobCommand {}
}
