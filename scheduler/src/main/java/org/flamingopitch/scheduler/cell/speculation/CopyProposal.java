package org.flamingopitch.scheduler.cell.speculation;

/**
 * A copy that pays.
 *
 * @param task the index of its task in {@link SpeculativeStep#tasks()}
 * @param elapsedMillis how long the task's run has lasted
 * @param remainingMillis how much longer the run is expected to last
 * @param copyMillis how long the copy is expected to last
 * @param percent how much of the task is done in the run
 * @param savesObjective whether the job can meet its objective with the copy only
 * @param stepSavedMillis by how much earlier the whole step is expected to be done
 */
public record CopyProposal(
        int task,
        long elapsedMillis,
        long remainingMillis,
        long copyMillis,
        double percent,
        boolean savesObjective,
        long stepSavedMillis) {

    /**
     * Returns whether the copy pays.
     *
     * @param capacity the processor time of the cell
     * @return whether the step is done earlier by more than what the copy costs at that capacity
     */
    public boolean paysAt(CopyCapacity capacity) {
        return stepSavedMillis > copyMillis * capacity.costFactor();
    }

    /**
     * Returns by how much earlier the task is expected to be done.
     *
     * @return milliseconds
     */
    public long savedMillis() {
        return remainingMillis - copyMillis;
    }
}
