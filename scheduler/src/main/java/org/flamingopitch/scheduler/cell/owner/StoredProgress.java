package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.model.JobState;

/** Derives a job's state from its stored records, for hosts that cannot reach the owner. */
public final class StoredProgress {

    private StoredProgress() {}

    /**
     * Returns the state of a job with a progress record.
     *
     * @param value the first part of the progress as stored
     * @return the state
     */
    public static JobState state(String value) {
        ProgressRecord record = JsonCodec.compact().decode(value, ProgressRecord.class);
        if (record.end() != null) {
            return record.end();
        }
        return record.empty() ? JobState.QUEUED : JobState.RUNNING;
    }

    /**
     * Returns the state of a stored job without a progress record.
     *
     * @return the state
     */
    public static JobState stateWithoutProgress() {
        return JobState.QUEUED;
    }
}
