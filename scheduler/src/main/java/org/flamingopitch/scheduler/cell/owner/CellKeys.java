package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.scheduler.cell.model.JobId;

/** The keys in the coordination store under which a cell keeps its records. */
public final class CellKeys {

    /** The prefix of {@link #OWNER}, for watching it. */
    public static final String OWNER_PREFIX = "flamingopitch/owner/";

    /** The key of the {@link OwnerRecord}, written under the lease of the cell's owner. Its version is the fencing token. */
    public static final String OWNER = OWNER_PREFIX + "cell";

    /** The key of the ledger entry, which holds the commit marker of the last transaction of any owner. */
    public static final String LEDGER = "flamingopitch/ledger";

    /**
     * The key of the {@link FormerOwnersRecord}. Processes of an earlier version leave it unchanged, so it may belong to
     * another transaction than the ledger entry.
     */
    public static final String FORMER_OWNERS = "flamingopitch/former-owners";

    /** The key of the learned statistics, a {@link LearnedRecord}. */
    public static final String LEARNED = "flamingopitch/learned";

    /** The prefix of the keys of submitted jobs, each a {@link JobRecord}. */
    public static final String JOB_PREFIX = "flamingopitch/job/";

    /** The prefix of the keys of the jobs' progress, each a {@link ProgressRecord}, one or more per job. */
    public static final String PROGRESS_PREFIX = "flamingopitch/progress/";

    private static final char PART_SEPARATOR = '/';

    private CellKeys() {}

    /**
     * Returns the key of a submitted job.
     *
     * @param id the job
     * @return the key
     */
    public static String job(JobId id) {
        return JOB_PREFIX + id;
    }

    /**
     * Returns the key of the first part of a job's progress.
     *
     * @param id the job
     * @return the key
     */
    public static String progress(JobId id) {
        return PROGRESS_PREFIX + id;
    }

    /**
     * Returns the key of a part of a job's progress.
     *
     * @param id the job
     * @param part the part, from 0
     * @return the key
     */
    static String progress(JobId id, int part) {
        return part == 0 ? progress(id) : PROGRESS_PREFIX + id + PART_SEPARATOR + part;
    }

    /**
     * Returns the job of a key under {@link #JOB_PREFIX}.
     *
     * @throws IllegalArgumentException if the key names no job
     */
    static JobId jobOf(String key) {
        return new JobId(key.substring(JOB_PREFIX.length()));
    }

    /**
     * Returns the job of a key under {@link #PROGRESS_PREFIX}.
     *
     * @throws IllegalArgumentException if the key names no job
     */
    static JobId progressJobOf(String key) {
        int separator = key.indexOf(PART_SEPARATOR, PROGRESS_PREFIX.length());
        return new JobId(key.substring(PROGRESS_PREFIX.length(), separator < 0 ? key.length() : separator));
    }

    /**
     * Returns the part of a key under {@link #PROGRESS_PREFIX}.
     *
     * @throws IllegalArgumentException if the key names no part
     */
    static int progressPartOf(String key) {
        int separator = key.indexOf(PART_SEPARATOR, PROGRESS_PREFIX.length());
        return separator < 0 ? 0 : Integer.parseInt(key.substring(separator + 1));
    }
}
