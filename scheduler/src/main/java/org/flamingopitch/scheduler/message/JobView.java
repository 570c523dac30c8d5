package org.flamingopitch.scheduler.message;

import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;

/**
 * A job as its caller sees it.
 *
 * @param job the key
 * @param kind the kind of work
 * @param phase the phase
 * @param attempts how many attempts were planned
 * @param evictions how many attempts were stopped after a checkpoint
 * @param detail where it runs, or why it waits or failed
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
