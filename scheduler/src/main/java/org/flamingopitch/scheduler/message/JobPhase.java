package org.flamingopitch.scheduler.message;

/** The phase of a job. */
public enum JobPhase {
    /** It waits for room. */
    QUEUED(false),
    /** An attempt is planned; whether it runs is not known yet. */
    STARTING(false),
    /** An attempt runs. */
    RUNNING(false),
    /** The running attempt is being stopped. */
    STOPPING(false),
    /** It has finished. */
    FINISHED(true),
    /** It has failed and is not tried again. */
    FAILED(true),
    /** It may have run in part and must not be repeated. */
    UNKNOWN(true),
    /** It was cancelled. */
    CANCELLED(true);

    private final boolean ended;

    JobPhase(boolean ended) {
        this.ended = ended;
    }

    /**
     * Tells whether nothing more will happen.
     *
     * @return whether the phase is final
     */
    public boolean ended() {
        return ended;
    }
}
