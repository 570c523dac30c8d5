package org.flamingopitch.scheduler.cell.model;

/** What a caller is told of a job. */
public enum JobState {
    /** No task has started. */
    QUEUED(false),
    /** A task has started. */
    RUNNING(false),
    /** All tasks have ended as done. */
    DONE(true),
    /** A task has used all its attempts. */
    FAILED(true),
    /** The caller has cancelled it. */
    CANCELLED(true);

    private final boolean terminal;

    JobState(boolean terminal) {
        this.terminal = terminal;
    }

    /**
     * Tells whether the state is final.
     *
     * @return whether it is
     */
    public boolean terminal() {
        return terminal;
    }
}
