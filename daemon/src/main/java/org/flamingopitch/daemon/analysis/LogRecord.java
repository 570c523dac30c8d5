package org.flamingopitch.daemon.analysis;

import java.time.Instant;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One event that a host has logged.
 *
 * @param prefixMicros the number before {@code time=}, in microseconds, if the line has one
 * @param instant the value of {@code time=}
 * @param host the host's name before {@code time=}, empty if the line has none
 * @param fields all pairs from {@code time=} on, values without their quotes
 */
record LogRecord(OptionalLong prefixMicros, Instant instant, String host, Map<String, String> fields) {

    String event() {
        return fields.getOrDefault("event", "");
    }

    /** Returns the value of a field, or an empty string if it is absent. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
