package org.flamingopitch.transport.http;

import java.nio.charset.StandardCharsets;
import org.flamingopitch.coordination.api.Failure;

/** The outcome of a request to another process. */
public sealed interface HttpOutcome {

    /**
     * The whole answer.
     *
     * @param status the status code
     * @param body the body
     */
    record Answered(int status, byte[] body) implements HttpOutcome {

        /**
         * Returns the body as text.
         *
         * @return the text
         */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /**
         * Tells whether the status is a success.
         *
         * @return whether it is between 200 and 299
         */
        public boolean success() {
            return status >= 200 && status < 300;
        }
    }

    /**
     * Nothing was sent.
     *
     * @param failure the step and peer
     */
    record NotSent(Failure failure) implements HttpOutcome {}

    /**
     * No answer, or not the whole answer; the request may have taken effect.
     *
     * @param failure the step and peer
     */
    record Lost(Failure failure) implements HttpOutcome {}
}
