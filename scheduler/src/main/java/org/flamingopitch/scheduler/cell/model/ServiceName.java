package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * The name of a service: the pool of workers that run the tasks of certain queues.
 *
 * @param value the name's text
 */
public record ServiceName(@JsonValue String value) {

    /**
     * Validates the name.
     *
     * @param value the name's text
     * @throws IllegalArgumentException if the text is invalid
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceName {
        Ids.requireText("service name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
