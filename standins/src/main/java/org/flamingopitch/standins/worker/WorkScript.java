package org.flamingopitch.standins.worker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import org.flamingopitch.coordination.api.JsonCodec;

/** Reads how long a piece of work takes from its payload: {@code {"workMillis":200}}. */
final class WorkScript {

    private static final long DEFAULT_MILLIS = 1;

    private WorkScript() {}

    static Duration duration(byte[] payload) {
        return Duration.ofMillis(number(payload, "workMillis", DEFAULT_MILLIS));
    }

    static boolean fails(byte[] payload) {
        return number(payload, "fail", 0) != 0;
    }

    private static long number(byte[] payload, String field, long fallback) {
        try {
            JsonNode node = JsonCodec.json().mapper().readTree(payload);
            return node == null ? fallback : node.path(field).asLong(fallback);
        } catch (JsonProcessingException e) {
            return fallback;
        } catch (IOException e) {
            throw new IllegalStateException("cannot read a payload in memory", e);
        }
    }
}
