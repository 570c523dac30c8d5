package org.flamingopitch.scheduler.model;

import org.flamingopitch.coordination.api.Failure;

/** What a caller is told of its request. */
public sealed interface Outcome {

    /**
     * The work ran; this is the whole answer.
     *
     * @param answer the answer
     */
    record Done(Payload answer) implements Outcome {}

    /**
     * The work did not run and will not.
     *
     * @param reason why
     * @param failure the step and peer
     */
    record NotRun(Reason reason, Failure failure) implements Outcome {}

    /**
     * The work may have run.
     *
     * @param failure the step and peer
     */
    record Unknown(Failure failure) implements Outcome {}

    /**
     * Creates a proof that nothing ran.
     *
     * @param reason why
     * @param step the step
     * @param peer the peer
     * @return the outcome
     */
    static Outcome notRun(Reason reason, String step, String peer) {
        return new NotRun(reason, new Failure(step, peer, reason.text()));
    }

    /**
     * Creates an outcome that is not known.
     *
     * @param step the step
     * @param peer the peer
     * @param detail what happened
     * @return the outcome
     */
    static Outcome unknown(String step, String peer, String detail) {
        return new Unknown(new Failure(step, peer, detail));
    }
}
