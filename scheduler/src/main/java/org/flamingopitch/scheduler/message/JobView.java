package org.flamingopitch.scheduler.message;

import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;

/**
 * A job as its caller sees it.
 *
 * @param job the key
 * @param kind the kind of work
 * @param phase the phase of the job
 * @param attempts the number of attempts so far
 * @param evictions the number of attempts that were stopped after a checkpoint
 * @param detail the worker that runs the job, or why it waits or failed
 * @param result the result of a finished job, or empty
 */
public record JobView(
        IdempotencyKey job,
        KindName kind,
        JobPhase phase,
        int attempts,
        int evictions,
        String detail,
        Payload result) {}
