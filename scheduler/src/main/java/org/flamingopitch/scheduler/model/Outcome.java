package org.flamingopitch.scheduler.model;

import org.flamingopitch.coordination.api.Failure;

/** The outcome of a request, as its caller receives it. */
public sealed interface Outcome {

    /**
     * The work ran, and its answer was received completely.
     *
     * @param answer the answer
     */
    record Done(Payload answer) implements Outcome {}

    /**
     * The work did not run and will not.
     *
     * @param reason why it did not run
     * @param failure the step that refused it, and the peer
     */
    record NotRun(Reason reason, Failure failure) implements Outcome {}

    /**
     * The outcome is unknown: the work may have run, completely or in part.
     *
     * @param failure the step that failed, and the peer
     */
    record Unknown(Failure failure) implements Outcome {}

    /**
     * Creates an outcome for work that certainly did not run.
     *
     * @param reason why it did not run
     * @param step the step that refused it
     * @param peer the peer
     * @return the outcome
     */
    static Outcome notRun(Reason reason, String step, String peer) {
        return new NotRun(reason, new Failure(step, peer, reason.text()));
    }

    /**
     * Creates an unknown outcome.
     *
     * @param step the step that failed
     * @param peer the peer
     * @param detail what happened
     * @return the outcome
     */
    static Outcome unknown(String step, String peer, String detail) {
        return new Unknown(new Failure(step, peer, detail));
    }
}
