package org.flamingopitch.scheduler.cell.model;

/** The way in which a run ended. A run is one execution of a task on a worker. */
public enum EndKind {
    /** The run completed the task. */
    DONE(true, false),
    /** The run failed because of an error of the task or of the worker. */
    FAILED(false, true),
    /** The worker stopped the run because of a stop order. */
    STOPPED(false, false),
    /** The lease under which the worker ran the task expired. */
    LAPSED(false, false),
    /** Another member of the task's gang ended; the tasks of a gang work only while all of them run. */
    BROKEN(false, false),
    /** The run waited too long for the other members of the task's gang. */
    ALONE(false, false);

    private final boolean success;

    private final boolean countsAsAttempt;

    EndKind(boolean success, boolean countsAsAttempt) {
        this.success = success;
        this.countsAsAttempt = countsAsAttempt;
    }

    /**
     * Returns whether the run completed the task.
     *
     * @return whether the task is done
     */
    public boolean success() {
        return success;
    }

    /**
     * Returns whether the end counts as one of the task's limited number of attempts.
     *
     * @return whether the end uses up an attempt
     */
    public boolean countsAsAttempt() {
        return countsAsAttempt;
    }
}
