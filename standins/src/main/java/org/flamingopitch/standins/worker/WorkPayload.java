package org.flamingopitch.standins.worker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import org.flamingopitch.coordination.api.JsonCodec;

/**
 * Reads from a payload how a worker simulates the work, such as {@code {"workMillis":200,"fail":1}}: its duration, and
 * whether it fails (any number but 0).
 */
final class WorkPayload {

    private static final long DEFAULT_WORK_MILLIS = 1;

    private WorkPayload() {}

    static Duration workDuration(byte[] payload) {
        return Duration.ofMillis(readNumber(payload, "workMillis", DEFAULT_WORK_MILLIS));
    }

    static boolean requestsFailure(byte[] payload) {
        return readNumber(payload, "fail", 0) != 0;
    }

    private static long readNumber(byte[] payload, String field, long defaultValue) {
        try {
            JsonNode node = JsonCodec.json().mapper().readTree(payload);
            return node == null ? defaultValue : node.path(field).asLong(defaultValue);
        } catch (JsonProcessingException e) {
            return defaultValue;
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the payload of a request or task", e);
        }
    }
}
