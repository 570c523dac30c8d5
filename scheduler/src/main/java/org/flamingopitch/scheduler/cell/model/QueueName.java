package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * Names a queue of the configuration.
 *
 * @param value the name's text
 */
public record QueueName(@JsonValue String value) {

    /**
     * Checks the value.
     *
     * @param value the name's text
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
