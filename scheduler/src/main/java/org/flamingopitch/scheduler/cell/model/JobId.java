package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * Identifies a job. The caller chooses the id, so that a repeated submission is recognised.
 *
 * @param value the id's text
 */
public record JobId(@JsonValue String value) {

    /**
     * Validates the id.
     *
     * @param value the id's text
     * @throws IllegalArgumentException if the text is invalid
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
