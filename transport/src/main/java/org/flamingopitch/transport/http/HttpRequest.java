package org.flamingopitch.transport.http;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A request that an {@link HttpClient} sends.
 *
 * @param method the HTTP method
 * @param path the path with its query string
 * @param body the body, empty for none
 * @param timeout how long to wait for the complete answer once sending begins
 * @param notAfter the time after which the request is no longer sent
 * @param headers further headers
 */
public record HttpRequest(
        String method, String path, byte[] body, Duration timeout, Instant notAfter, List<HttpHeader> headers) {

    /**
     * Creates a request without further headers.
     *
     * @param method the HTTP method
     * @param path the path with its query string
     * @param body the body, empty for none
     * @param timeout how long to wait for the complete answer once sending begins
     * @param notAfter the time after which the request is no longer sent
     */
    public HttpRequest(String method, String path, byte[] body, Duration timeout, Instant notAfter) {
        this(method, path, body, timeout, notAfter, List.of());
    }
}
