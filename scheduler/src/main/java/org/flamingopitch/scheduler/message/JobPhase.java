package org.flamingopitch.scheduler.message;

/** The phase of a job. */
public enum JobPhase {
    /** It waits for free capacity. */
    QUEUED(false),
    /** An attempt has been sent to a rack; whether it runs is not known yet. */
    STARTING(false),
    /** An attempt runs. */
    RUNNING(false),
    /** The running attempt is being stopped. */
    STOPPING(false),
    /** It has finished. */
    FINISHED(true),
    /** It has failed and is not retried. */
    FAILED(true),
    /** An attempt has an unknown outcome, and the work must not be repeated. */
    UNKNOWN(true),
    /** It was cancelled. */
    CANCELLED(true);

    private final boolean ended;

    JobPhase(boolean ended) {
        this.ended = ended;
    }

    /**
     * Returns whether the phase is final.
     *
     * @return whether the job has ended
     */
    public boolean ended() {
        return ended;
    }
}
