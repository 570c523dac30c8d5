package org.flamingopitch.transport.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.flamingopitch.coordination.api.JsonCodec;

/**
 * The answer to an HTTP request.
 *
 * @param status the status code
 * @param contentType the media type of the body
 * @param body the body
 * @param retryAfter when the caller should come back, or null
 */
public record HttpReply(int status, String contentType, byte[] body, Duration retryAfter) {

    /** Success. */
    public static final int OK = 200;

    /** Something was created. */
    public static final int CREATED = 201;

    /** Accepted for later. */
    public static final int ACCEPTED = 202;

    /** The request is malformed. */
    public static final int BAD_REQUEST = 400;

    /** No such resource. */
    public static final int NOT_FOUND = 404;

    /** The path does not take this method. */
    public static final int METHOD_NOT_ALLOWED = 405;

    /** The state does not allow it. */
    public static final int CONFLICT = 409;

    /** It no longer exists. */
    public static final int GONE = 410;

    /** The body is too large. */
    public static final int TOO_LARGE = 413;

    /** Something failed. */
    public static final int SERVER_ERROR = 500;

    /** The service cannot do it now. */
    public static final int UNAVAILABLE = 503;

    /** No answer in time. */
    public static final int GATEWAY_TIMEOUT = 504;

    /**
     * Creates an answer without a time to come back.
     *
     * @param status the status code
     * @param contentType the media type of the body
     * @param body the body
     */
    public HttpReply(int status, String contentType, byte[] body) {
        this(status, contentType, body, null);
    }

    /**
     * Creates an answer to a request that was not carried out.
     *
     * @param status the status code
     * @param error what is wrong
     * @param retryAfter when the caller should come back
     * @return the answer
     */
    public static HttpReply refusal(int status, String error, Duration retryAfter) {
        return new HttpReply(status, "application/json", error(status, error).body(), retryAfter);
    }

    /**
     * Creates an answer with JSON.
     *
     * @param status the status code
     * @param value the value to encode
     * @return the answer
     */
    public static HttpReply json(int status, Object value) {
        byte[] body = JsonCodec.json().encode(value).getBytes(StandardCharsets.UTF_8);
        return new HttpReply(status, "application/json", body);
    }

    /**
     * Creates an answer with text.
     *
     * @param status the status code
     * @param text the text
     * @return the answer
     */
    public static HttpReply text(int status, String text) {
        return new HttpReply(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates an answer that explains an error.
     *
     * @param status the status code
     * @param error what is wrong
     * @return the answer
     */
    public static HttpReply error(int status, String error) {
        return json(status, new ErrorBody(error));
    }

    /**
     * The body of an error.
     *
     * @param error what is wrong
     */
    public record ErrorBody(String error) {}
}
