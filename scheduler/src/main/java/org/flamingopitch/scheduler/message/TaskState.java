package org.flamingopitch.scheduler.message;

/** What a rack's owner knows of a task. */
public enum TaskState {
    /** Not known yet; ask again. */
    UNDETERMINED(false),
    /** It runs. */
    RUNNING(false),
    /** It has never started and never will. */
    NEVER_STARTED(true),
    /** It does not run and never will again, but may have run. */
    GONE(true),
    /** It stopped after a checkpoint. */
    STOPPED(true),
    /** It has finished. */
    FINISHED(true),
    /** It has failed by itself. */
    FAILED(true);

    private final boolean ended;

    TaskState(boolean ended) {
        this.ended = ended;
    }

    /**
     * Tells whether the task certainly does not run any more.
     *
     * @return whether it has ended
     */
    public boolean ended() {
        return ended;
    }
}
