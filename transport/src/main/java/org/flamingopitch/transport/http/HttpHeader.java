package org.flamingopitch.transport.http;

/**
 * A header of a request.
 *
 * @param name its name
 * @param value its value
 */
public record HttpHeader(String name, String value) {}
