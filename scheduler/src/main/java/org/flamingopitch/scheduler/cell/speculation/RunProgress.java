package org.flamingopitch.scheduler.cell.speculation;

/**
 * How long a run has lasted and how much of its task is done.
 *
 * @param elapsedMillis the time since the run was placed
 * @param percent how much of the task is done, as last reported
 * @param gainedPercent by how much that rose while the run was observed; 0 if it is not known
 * @param gainedMillis within which time it rose by that much
 * @param staleMillis the time since it last rose
 */
public record RunProgress(
        long elapsedMillis, double percent, double gainedPercent, long gainedMillis, long staleMillis) {

    private static final double ALL = 100;

    /**
     * Returns the remaining time if the run goes on at its speed so far.
     *
     * @return milliseconds; 0 or less if the speed is not known, or the run should have ended at that speed
     */
    long remainingMillisAtPresentSpeed() {
        if (gainedPercent <= 0) {
            return 0;
        }
        return (long) ((ALL - percent) * gainedMillis / gainedPercent) - staleMillis;
    }
}
