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
 */
public record HttpRequest(
        String method,
        String path,
        byte[] body,
        Duration timeout,
        Instant notAfter,
        List<HttpHeader> headers,
        BooleanSupplier withdrawn) {

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
}
