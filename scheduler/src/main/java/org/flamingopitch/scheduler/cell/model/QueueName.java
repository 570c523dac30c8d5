package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * The name of a queue in the configuration.
 *
 * @param value the name's text
 */
public record QueueName(@JsonValue String value) {

    /**
     * Validates the name.
     *
     * @param value the name's text
     * @throws IllegalArgumentException if the text is invalid
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public QueueName {
        Ids.requireText("queue name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
