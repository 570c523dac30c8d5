package org.flamingopitch.scheduler.message;

/** The state of a task, as the owner of its rack knows it. */
public enum TaskState {
    /** The owner does not know the state yet; it must be queried again. */
    UNDETERMINED(false),
    /** It runs. */
    RUNNING(false),
    /** It has never started and never will. */
    NEVER_STARTED(true),
    /** It does not run and will not run again, but may have run; its outcome is unknown. */
    GONE(true),
    /** It stopped after a checkpoint. */
    STOPPED(true),
    /** It has finished. */
    FINISHED(true),
    /** The work itself has failed. */
    FAILED(true);

    private final boolean ended;

    TaskState(boolean ended) {
        this.ended = ended;
    }

    /**
     * Returns whether the task is known not to run any more.
     *
     * @return whether it has ended
     */
    public boolean ended() {
        return ended;
    }
}
