package org.flamingopitch.scheduler.worker;

/** The phase of a task, as its worker reports it. */
public enum TaskPhase {
    /** It runs. */
    RUNNING(false),
    /** It stopped after a checkpoint. */
    STOPPED(true),
    /** It has finished. */
    FINISHED(true),
    /** It has failed. */
    FAILED(true);

    private final boolean ended;

    TaskPhase(boolean ended) {
        this.ended = ended;
    }

    /**
     * Returns whether the task has ended and uses no resources any more.
     *
     * @return whether it has ended
     */
    public boolean ended() {
        return ended;
    }
}
