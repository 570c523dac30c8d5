package org.flamingopitch.scheduler.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * The name of a worker.
 *
 * @param value the name in the operators' inventory
 */
public record WorkerId(@JsonValue String value) implements Comparable<WorkerId> {

    /**
     * Checks that the name is valid.
     *
     * @param value the name
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public WorkerId {
        Ids.requireText("worker id", value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
