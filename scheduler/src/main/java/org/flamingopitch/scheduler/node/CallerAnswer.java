package org.flamingopitch.scheduler.node;

import org.flamingopitch.coordination.config.ConfigEnvelope;
import org.flamingopitch.coordination.config.ConfigOutcome;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.model.Outcome;

/** The answer to a {@link CallerRequest} of a caller or an operator. */
public sealed interface CallerAnswer {

    /**
     * The answer to {@link CallerRequest.Run}.
     *
     * @param outcome the outcome of the work
     */
    record RunAnswer(Outcome outcome) implements CallerAnswer {}

    /**
     * The answer to {@link CallerRequest.Job}.
     *
     * @param answer the job's state, or why the command was refused
     */
    record JobAnswered(JobAnswer answer) implements CallerAnswer {}

    /**
     * The answer to {@link CallerRequest.MintKey}.
     *
     * @param key the newly issued idempotency key
     */
    record KeyMinted(IdempotencyKey key) implements CallerAnswer {}

    /**
     * The answer to {@link CallerRequest.ProposeConfig}.
     *
     * @param outcome whether the configuration was accepted, and the reason if not
     */
    record ConfigAnswered(ConfigOutcome outcome) implements CallerAnswer {}

    /**
     * The answer to {@link CallerRequest.ShowConfig}.
     *
     * @param envelope the configuration in force and its change history
     */
    record ConfigShown(ConfigEnvelope envelope) implements CallerAnswer {}

    /**
     * The answer to {@link CallerRequest.ShowStatus}.
     *
     * @param status the state of this process
     */
    record StatusShown(NodeStatus status) implements CallerAnswer {}
}
