package org.flamingopitch.scheduler.cell.admission;

/** The size of a job by its work, compared with the jobs that were submitted to its queue before it. */
public enum SizeClass {
    /** The largest tenth. */
    LARGEST,

    /** The fifth below the largest tenth. */
    LARGE,

    /** All others. */
    REGULAR;

    private static final double LARGEST_SHARE = 0.1;

    private static final double LARGE_SHARE = 0.3;

    /**
     * Returns the class of a job.
     *
     * @param shareOfLargerJobs the share of jobs that are larger, from 0 to 1
     * @return the class
     */
    static SizeClass of(double shareOfLargerJobs) {
        if (shareOfLargerJobs < LARGEST_SHARE) {
            return LARGEST;
        }
        return shareOfLargerJobs < LARGE_SHARE ? LARGE : REGULAR;
    }
}
