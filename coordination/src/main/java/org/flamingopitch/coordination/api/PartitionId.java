package org.flamingopitch.coordination.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a partition, the unit that is owned by at most one process at a time.
 *
 * @param value the name, unique within its ownership group
 */
public record PartitionId(@JsonValue String value) implements Comparable<PartitionId> {

    /**
     * Creates an id.
     *
     * @param value the name
     * @throws IllegalArgumentException if the name is missing or blank
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
