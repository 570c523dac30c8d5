package org.flamingopitch.scheduler.node;

import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;

/** What a caller or an operator asks. */
public sealed interface CallerRequest {

    /**
     * Runs urgent work and waits for the answer.
     *
     * @param kind the kind of work
     * @param key the idempotency key, or null
     * @param payload the request
     */
    record Run(KindName kind, IdempotencyKey key, Payload payload) implements CallerRequest {}

    /**
     * Acts on a job.
     *
     * @param command what to do
     */
    record Job(JobCommand command) implements CallerRequest {}

    /** Asks for a new idempotency key. */
    record MintKey() implements CallerRequest {}

    /**
     * Proposes a configuration.
     *
     * @param document the document
     * @param expectedVersion the version that it replaces
     * @param who who proposes it
     */
    record ProposeConfig(String document, long expectedVersion, String who) implements CallerRequest {}

    /** Asks for the configuration in force and its changes. */
    record ShowConfig() implements CallerRequest {}

    /** Asks for the state of this process. */
    record ShowStatus() implements CallerRequest {}
}
