package org.flamingopitch.transport.http;

/**
 * A request header.
 *
 * @param name the name of the header
 * @param value the value of the header
 */
public record HttpHeader(String name, String value) {}
