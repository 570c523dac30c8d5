package org.flamingopitch.coordination.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one incarnation of a process; a restarted process has another id.
 *
 * @param value the host name and incarnation, for example {@code entry-1.5f2c}
 */
public record ProcessId(@JsonValue String value) implements Comparable<ProcessId> {

    /**
     * Checks the value.
     *
     * @param value the host name and incarnation
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
