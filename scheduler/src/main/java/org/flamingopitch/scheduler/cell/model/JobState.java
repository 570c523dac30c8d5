package org.flamingopitch.scheduler.cell.model;

/** The state of a job as it is reported to the caller. */
public enum JobState {
    /** No task of the job has started. */
    QUEUED(false),
    /** At least one task of the job has started. */
    RUNNING(false),
    /** All tasks of the job have been completed. */
    DONE(true),
    /** A task of the job has failed as often as its queue permits. */
    FAILED(true),
    /** The caller has cancelled the job. */
    CANCELLED(true);

    private final boolean terminal;

    JobState(boolean terminal) {
        this.terminal = terminal;
    }

    /**
     * Returns whether the state is final.
     *
     * @return whether no other state can follow
     */
    public boolean terminal() {
        return terminal;
    }
}
