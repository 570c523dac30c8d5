package org.flamingopitch.scheduler.cell.speculation;

import java.util.Locale;

/** What became of a copy, which is a second run of a task beside its first one. */
public enum CopyOutcome {
    /** The copy was the first to complete the task. */
    WON,
    /** The first run completed the task before the copy. */
    LOST,
    /** The copy ended, or was not started, and the task goes on in its first run. */
    ENDED,
    /** The first run ended without completing the task, which goes on in the copy. */
    SOLE,
    /** The job ended while both ran. */
    CANCELLED;

    /**
     * Returns the text of the outcome in labels of metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
