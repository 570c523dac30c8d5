package org.flamingopitch.scheduler.cell.model;

/** How a run ended. */
public enum EndKind {
    /** The work is done. */
    DONE(true, false),
    /** The work failed, through its own fault or the worker's. */
    FAILED(false, true),
    /** It was stopped on an order. */
    STOPPED(false, false),
    /** The worker's lease ran out. */
    LAPSED(false, false),
    /** Another member of its gang ended. */
    BROKEN(false, false),
    /** It waited too long for the other members of its gang. */
    ALONE(false, false);

    private final boolean success;

    private final boolean attempt;

    EndKind(boolean success, boolean attempt) {
        this.success = success;
        this.attempt = attempt;
    }

    /**
     * Tells whether the task is done.
     *
     * @return whether it is
     */
    public boolean success() {
        return success;
    }

    /**
     * Tells whether the end uses up one of the task's attempts.
     *
     * @return whether it does
     */
    public boolean countsAsAttempt() {
        return attempt;
    }
}
