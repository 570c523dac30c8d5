package org.flamingopitch.transport.http;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A request to another process.
 *
 * @param method the method
 * @param path the path with its query
 * @param body the body, empty for none
 * @param timeout how long to wait for the whole answer
 * @param notAfter the request must not be written after that time
 * @param headers further headers
 */
public record HttpOrder(
        String method, String path, byte[] body, Duration timeout, Instant notAfter, List<HttpHeader> headers) {

    /**
     * Creates a request without further headers.
     *
     * @param method the method
     * @param path the path with its query
     * @param body the body, empty for none
     * @param timeout how long to wait for the whole answer
     * @param notAfter the request must not be written after that time
     */
    public HttpOrder(String method, String path, byte[] body, Duration timeout, Instant notAfter) {
        this(method, path, body, timeout, notAfter, List.of());
    }
}
