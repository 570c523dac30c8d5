package org.flamingopitch.scheduler.message;

import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;

/** What a caller wants of a job. */
public sealed interface JobCommand {

    /**
     * Returns the job's key.
     *
     * @return the key
     */
    IdempotencyKey job();

    /**
     * Submits a job; a second submission with the same key finds the first.
     *
     * @param job the key
     * @param kind the kind of work
     * @param payload the job
     */
    record Submit(IdempotencyKey job, KindName kind, Payload payload) implements JobCommand {}

    /**
     * Asks for the state.
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
     * Evicts the job's running task: checkpoint, stop, resume elsewhere.
     *
     * @param job the key
     */
    record Evict(IdempotencyKey job) implements JobCommand {}
}
