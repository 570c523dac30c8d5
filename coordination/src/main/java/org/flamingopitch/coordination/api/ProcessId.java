package org.flamingopitch.coordination.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one incarnation of a process; a process that is restarted gets a new id.
 *
 * @param value the host name and incarnation, for example {@code entry-1.5f2c}
 */
public record ProcessId(@JsonValue String value) implements Comparable<ProcessId> {

    /**
     * Creates an id.
     *
     * @param value the host name and incarnation
     * @throws IllegalArgumentException if the value is missing or blank
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ProcessId {
        Ids.requireText("process id", value);
    }

    @Override
    public int compareTo(ProcessId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
