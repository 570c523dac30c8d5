package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * Names a pool of workers.
 *
 * @param value the name's text
 */
public record ServiceName(@JsonValue String value) {

    /**
     * Checks the value.
     *
     * @param value the name's text
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
