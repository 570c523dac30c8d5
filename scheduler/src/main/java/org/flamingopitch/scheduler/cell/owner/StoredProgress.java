package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.model.JobState;

/** Reads a job's state from its record. */
public final class StoredProgress {

    private StoredProgress() {}

    /**
     * Returns the state that a record of progress tells.
     *
     * @param value the record as it is stored
     * @return the state
     */
    public static JobState state(String value) {
        ProgressRecord record = JsonCodec.compact().decode(value, ProgressRecord.class);
        if (record.end() != null) {
            return record.end();
        }
        return record.tasks().isEmpty() ? JobState.QUEUED : JobState.RUNNING;
    }

    /**
     * Returns the state of a job without a record of progress.
     *
     * @return the state
     */
    public static JobState unstarted() {
        return JobState.QUEUED;
    }
}
