package org.flamingopitch.transport.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.flamingopitch.coordination.api.JsonCodec;

/**
 * The answer of a server to an HTTP request.
 *
 * @param status the status code
 * @param contentType the media type of the body
 * @param body the body
 * @param retryAfter how long the caller should wait before it retries, or null
 */
public record HttpReply(int status, String contentType, byte[] body, Duration retryAfter) {

    /** The request succeeded. */
    public static final int OK = 200;

    /** A resource was created. */
    public static final int CREATED = 201;

    /** The request was accepted and is carried out later. */
    public static final int ACCEPTED = 202;

    /** The request is malformed. */
    public static final int BAD_REQUEST = 400;

    /** The resource does not exist. */
    public static final int NOT_FOUND = 404;

    /** The path does not support the method. */
    public static final int METHOD_NOT_ALLOWED = 405;

    /** The request conflicts with the current state of the resource. */
    public static final int CONFLICT = 409;

    /** The resource no longer exists. */
    public static final int GONE = 410;

    /** The request body is too large. */
    public static final int TOO_LARGE = 413;

    /** The server failed to process the request. */
    public static final int SERVER_ERROR = 500;

    /** The server cannot process the request at present. */
    public static final int UNAVAILABLE = 503;

    /** An upstream server did not answer in time. */
    public static final int GATEWAY_TIMEOUT = 504;

    /**
     * Creates an answer without a Retry-After header.
     *
     * @param status the status code
     * @param contentType the media type of the body
     * @param body the body
     */
    public HttpReply(int status, String contentType, byte[] body) {
        this(status, contentType, body, null);
    }

    /**
     * Creates an error answer with a Retry-After header.
     *
     * @param status the status code
     * @param error the cause
     * @param retryAfter how long the caller should wait before it retries
     * @return the answer
     */
    public static HttpReply refusal(int status, String error, Duration retryAfter) {
        return new HttpReply(status, "application/json", error(status, error).body(), retryAfter);
    }

    /**
     * Creates an answer with a JSON body.
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
     * Creates an answer with a plain text body.
     *
     * @param status the status code
     * @param text the text
     * @return the answer
     */
    public static HttpReply text(int status, String text) {
        return new HttpReply(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates an error answer whose JSON body holds the cause.
     *
     * @param status the status code
     * @param error the cause
     * @return the answer
     */
    public static HttpReply error(int status, String error) {
        return json(status, new ErrorBody(error));
    }

    /**
     * The JSON body of an error answer.
     *
     * @param error the cause
     */
    public record ErrorBody(String error) {}
}
