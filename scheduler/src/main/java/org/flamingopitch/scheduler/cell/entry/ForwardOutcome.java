package org.flamingopitch.scheduler.cell.entry;

import org.flamingopitch.scheduler.cell.owner.JobAnswer;

/** The outcome of forwarding a request to the cell's owner on another host. */
public sealed interface ForwardOutcome {

    /**
     * The owner answered.
     *
     * @param answer the owner's answer
     */
    record Answered(JobAnswer answer) implements ForwardOutcome {}

    /**
     * The request was not sent.
     *
     * @param detail why it was not sent
     */
    record NotSent(String detail) implements ForwardOutcome {}

    /**
     * The request was sent, but no answer was received; it may have taken effect.
     *
     * @param detail why there is no answer
     */
    record Lost(String detail) implements ForwardOutcome {}
}
