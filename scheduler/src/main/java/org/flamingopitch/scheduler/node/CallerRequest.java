package org.flamingopitch.scheduler.node;

import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;

/** A request of a caller or an operator to this process. */
public sealed interface CallerRequest {

    /**
     * Runs work of an urgent kind; the caller waits for the outcome.
     *
     * @param kind the kind of work
     * @param key the idempotency key, or null if this process issues one
     * @param payload the input of the work
     */
    record Run(KindName kind, IdempotencyKey key, Payload payload) implements CallerRequest {}

    /**
     * Submits, queries, cancels or evicts a job.
     *
     * @param command the job command
     */
    record Job(JobCommand command) implements CallerRequest {}

    /** Requests a new idempotency key. */
    record MintKey() implements CallerRequest {}

    /**
     * Proposes a configuration.
     *
     * @param document the configuration as JSON
     * @param expectedVersion the version that the document replaces; the proposal is rejected if another is in force
     * @param who the operator's name, recorded in the change history
     */
    record ProposeConfig(String document, long expectedVersion, String who) implements CallerRequest {}

    /** Requests the configuration in force and its change history. */
    record ShowConfig() implements CallerRequest {}

    /** Requests the state of this process. */
    record ShowStatus() implements CallerRequest {}
}
