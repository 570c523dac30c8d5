package org.flamingopitch.scheduler.node;

import org.flamingopitch.coordination.config.ConfigEnvelope;
import org.flamingopitch.coordination.config.ConfigOutcome;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.model.Outcome;

/** What a caller or an operator is answered. */
public sealed interface CallerAnswer {

    /**
     * The outcome of urgent work.
     *
     * @param outcome the outcome
     */
    record RunAnswer(Outcome outcome) implements CallerAnswer {}

    /**
     * The answer to a job command.
     *
     * @param answer the answer
     */
    record JobAnswered(JobAnswer answer) implements CallerAnswer {}

    /**
     * A new idempotency key.
     *
     * @param key the key
     */
    record KeyMinted(IdempotencyKey key) implements CallerAnswer {}

    /**
     * What became of a proposed configuration.
     *
     * @param outcome the outcome
     */
    record ConfigAnswered(ConfigOutcome outcome) implements CallerAnswer {}

    /**
     * The configuration in force.
     *
     * @param envelope the configuration and its changes
     */
    record ConfigShown(ConfigEnvelope envelope) implements CallerAnswer {}

    /**
     * The state of this process.
     *
     * @param status the state
     */
    record StatusShown(NodeStatus status) implements CallerAnswer {}
}
