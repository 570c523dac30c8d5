package org.flamingopitch.transport.peer;

/** The outcome of a request to a peer. */
public sealed interface RequestOutcome {

    /**
     * The peer answered.
     *
     * @param body the bytes of the answer
     */
    record Answered(byte[] body) implements RequestOutcome {}

    /**
     * The request was not sent, so it had no effect.
     *
     * @param detail the cause
     */
    record NotSent(String detail) implements RequestOutcome {}

    /**
     * No answer arrived; the peer may have carried out the request.
     *
     * @param detail the cause
     */
    record Lost(String detail) implements RequestOutcome {}
}
