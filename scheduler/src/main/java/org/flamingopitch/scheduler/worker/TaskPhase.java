package org.flamingopitch.scheduler.worker;

/** What a worker tells about a task. */
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
     * Tells whether the task takes nothing any more.
     *
     * @return whether it has ended
     */
    public boolean ended() {
        return ended;
    }
}
