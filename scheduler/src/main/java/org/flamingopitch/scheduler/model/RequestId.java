package org.flamingopitch.scheduler.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * Names one dispatch of a request; unique over all processes.
 *
 * @param value the process and a number
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

    /**
     * Checks the value.
     *
     * @param value the process and a number
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        Ids.requireText("request id", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
