package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * Identifies a job; chosen by the caller, so that a repeated submission is recognised.
 *
 * @param value the id's text
 */
public record JobId(@JsonValue String value) {

    /**
     * Checks the value.
     *
     * @param value the id's text
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public JobId {
        Ids.requireText("job id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
