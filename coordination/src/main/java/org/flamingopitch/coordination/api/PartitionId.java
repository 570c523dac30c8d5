package org.flamingopitch.coordination.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a unit of ownership.
 *
 * @param value the name, unique within its ownership group
 */
public record PartitionId(@JsonValue String value) implements Comparable<PartitionId> {

    /**
     * Checks the value.
     *
     * @param value the name
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public PartitionId {
        Ids.requireText("partition id", value);
    }

    @Override
    public int compareTo(PartitionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
