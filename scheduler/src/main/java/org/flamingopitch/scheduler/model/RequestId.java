package org.flamingopitch.scheduler.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * The id of one dispatch of a request to a worker, unique among all processes.
 *
 * @param value the process id and a number
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

    /**
     * Checks that the id is valid.
     *
     * @param value the process id and a number
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
