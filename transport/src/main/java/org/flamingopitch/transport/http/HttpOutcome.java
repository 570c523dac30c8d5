package org.flamingopitch.transport.http;

import java.nio.charset.StandardCharsets;
import org.flamingopitch.coordination.api.Failure;

/** The outcome of a request that an {@link HttpClient} was given. */
public sealed interface HttpOutcome {

    /**
     * The complete answer arrived, with any status code.
     *
     * @param status the status code
     * @param body the body
     */
    record Answered(int status, byte[] body) implements HttpOutcome {

        /**
         * Returns the body, decoded as UTF-8.
         *
         * @return the text
         */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /**
         * Returns whether the status code reports success.
         *
         * @return whether the status code is between 200 and 299
         */
        public boolean success() {
            return status >= 200 && status < 300;
        }
    }

    /**
     * The request was not sent, so it had no effect.
     *
     * @param failure the failed step, the server and the cause
     */
    record NotSent(Failure failure) implements HttpOutcome {}

    /**
     * No complete answer arrived; the request may have taken effect.
     *
     * @param failure the failed step, the server and the cause
     */
    record Lost(Failure failure) implements HttpOutcome {}
}
