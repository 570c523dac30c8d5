package org.flamingopitch.scheduler.cell.disruption;

/** Receives the moves of long-running tasks to other workers, for the metrics. */
public interface MoveListener {

    /**
     * Called when a long-running task is stopped in order to run on another worker.
     *
     * @param reason why it is moved
     */
    void onMoved(MoveReason reason);

    /**
     * Called once for each run of a long-running task that is to be moved, but not yet: too many tasks of its step are
     * down, or no worker can take it over.
     */
    void onDeferred();
}
