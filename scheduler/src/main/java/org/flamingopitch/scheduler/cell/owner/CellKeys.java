package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.scheduler.cell.model.JobId;

/** The keys of a cell in the store. */
public final class CellKeys {

    /** The prefix of the key that the cell's owner holds. */
    public static final String OWNER_PREFIX = "flamingopitch/owner/";

    /** The key that the cell's owner holds. */
    public static final String OWNER = OWNER_PREFIX + "cell";

    /** The number of the last transaction of any owner. */
    public static final String LEDGER = "flamingopitch/ledger";

    /** What owners have learned. */
    public static final String LEARNED = "flamingopitch/learned";

    /** The prefix of what callers submitted. */
    public static final String JOB_PREFIX = "flamingopitch/job/";

    /** The prefix of how far jobs have come. */
    public static final String PROGRESS_PREFIX = "flamingopitch/progress/";

    private CellKeys() {}

    /**
     * Returns the key of a submission.
     *
     * @param id the job
     * @return the key
     */
    public static String job(JobId id) {
        return JOB_PREFIX + id;
    }

    /**
     * Returns the key of a job's progress.
     *
     * @param id the job
     * @return the key
     */
    public static String progress(JobId id) {
        return PROGRESS_PREFIX + id;
    }
}
