package org.flamingopitch.transport.peer;

/** What became of a request to a peer. */
public sealed interface RequestOutcome {

    /**
     * The peer answered.
     *
     * @param body the bytes of the answer
     */
    record Answered(byte[] body) implements RequestOutcome {}

    /**
     * Nothing was sent.
     *
     * @param detail why
     */
    record NotSent(String detail) implements RequestOutcome {}

    /**
     * No answer; the peer may have carried the request out.
     *
     * @param detail why
     */
    record Lost(String detail) implements RequestOutcome {}
}
