package org.flamingopitch.scheduler.cell.disruption;

import java.util.Locale;

/** Why a long-running task is moved to another worker. */
public enum MoveReason {
    /** Its worker drains: it shuts down soon, and ends its tasks then. */
    DRAINING,
    /** Its worker's data centre is under evacuation. */
    EVACUATION;

    /**
     * Returns the name in log lines and metric labels.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
