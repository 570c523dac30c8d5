package org.flamingopitch.scheduler.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.flamingopitch.coordination.api.Ids;

/**
 * The name of a kind of work.
 *
 * @param value the name in the operators' rules
 */
public record KindName(@JsonValue String value) {

    /**
     * Checks that the name is valid.
     *
     * @param value the name
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public KindName {
        Ids.requireText("kind", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
