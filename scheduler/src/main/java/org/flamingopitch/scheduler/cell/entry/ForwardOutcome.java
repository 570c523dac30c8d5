package org.flamingopitch.scheduler.cell.entry;

import org.flamingopitch.scheduler.cell.owner.JobAnswer;

/** What became of a request that was forwarded to the owner. */
public sealed interface ForwardOutcome {

    /**
     * The owner answered.
     *
     * @param answer its answer
     */
    record Answered(JobAnswer answer) implements ForwardOutcome {}

    /**
     * Nothing was sent.
     *
     * @param detail why
     */
    record NotSent(String detail) implements ForwardOutcome {}

    /**
     * No answer; the request may have taken effect.
     *
     * @param detail why
     */
    record Lost(String detail) implements ForwardOutcome {}
}
