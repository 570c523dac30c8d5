package org.flamingopitch.scheduler.cell.disruption;

/** Receives the moves of long-running tasks to other workers, for the metrics. */
public interface MoveListener {

    /**
     * Called when a long-running task is stopped in order to run on another worker.
     *
     * @param reason why it is moved
     */
    void onMoved(MoveReason reason);
}
