package org.flamingopitch.transport.http;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * A request that an {@link HttpClient} sends.
 *
 * @param method the HTTP method
 * @param path the path with its query string
 * @param body the body, empty for none
 * @param timeout how long to wait for the complete answer once sending begins
 * @param notAfter the time after which the request is no longer sent
 * @param headers further headers
 * @param withdrawn tells, when the request's turn for a connection has come, that it must not be sent any more
 * @param progressTimeout how long to wait for each part of the answer after the first; the timeout then bounds the wait
 *     for the first part only. Null if the timeout bounds the whole answer
 * @param serverWait how long the server may wait before it answers, as part of the timeout; zero but for long polls
 */
public record HttpRequest(
        String method,
        String path,
        byte[] body,
        Duration timeout,
        Instant notAfter,
        List<HttpHeader> headers,
        BooleanSupplier withdrawn,
        Duration progressTimeout,
        Duration serverWait) {

    /**
     * Creates a request whose timeout bounds the wait for the whole answer.
     *
     * @param method the HTTP method
     * @param path the path with its query string
     * @param body the body, empty for none
     * @param timeout how long to wait for the complete answer once sending begins
     * @param notAfter the time after which the request is no longer sent
     * @param headers further headers
     * @param withdrawn tells, when the request's turn for a connection has come, that it must not be sent any more
     */
    public HttpRequest(
            String method,
            String path,
            byte[] body,
            Duration timeout,
            Instant notAfter,
            List<HttpHeader> headers,
            BooleanSupplier withdrawn) {
        this(method, path, body, timeout, notAfter, headers, withdrawn, null, Duration.ZERO);
    }

    /**
     * Creates a request without further headers that is never withdrawn.
     *
     * @param method the HTTP method
     * @param path the path with its query string
     * @param body the body, empty for none
     * @param timeout how long to wait for the complete answer once sending begins
     * @param notAfter the time after which the request is no longer sent
     */
    public HttpRequest(String method, String path, byte[] body, Duration timeout, Instant notAfter) {
        this(method, path, body, timeout, notAfter, List.of(), () -> false);
    }

    /**
     * Returns this request with a limit for each part of the answer instead of the whole, for answers that may be large
     * and arrive over a slow link.
     *
     * @param limit how long to wait for each part of the answer after the first
     * @return the request
     */
    public HttpRequest withProgressTimeout(Duration limit) {
        return new HttpRequest(method, path, body, timeout, notAfter, headers, withdrawn, limit, serverWait);
    }

    /**
     * Returns this request as a long poll.
     *
     * @param wait how long the server may wait before it answers
     * @return the request
     */
    public HttpRequest withServerWait(Duration wait) {
        return new HttpRequest(method, path, body, timeout, notAfter, headers, withdrawn, progressTimeout, wait);
    }
}
