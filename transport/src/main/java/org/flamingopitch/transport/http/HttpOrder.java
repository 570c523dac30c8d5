package org.flamingopitch.transport.http;

import java.time.Duration;
import java.time.Instant;

/**
 * A request to another process.
 *
 * @param method the method
 * @param path the path with its query
 * @param body the body, empty for none
 * @param timeout how long to wait for the whole answer
 * @param notAfter the request must not be written after that time
 */
public record HttpOrder(String method, String path, byte[] body, Duration timeout, Instant notAfter) {}
