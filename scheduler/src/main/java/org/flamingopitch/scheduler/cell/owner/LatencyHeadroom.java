package org.flamingopitch.scheduler.cell.owner;

/**
 * The lowest headroom ratio (response time target divided by the measured tail) of the tasks of one latency-critical
 * image on a worker, with the best-effort tasks that run there.
 *
 * @param model the interference that best-effort tasks cause to the image
 * @param headroom the headroom ratio now
 * @param trialRunning whether a best-effort task with unknown cost runs there
 */
record LatencyHeadroom(InterferenceModel model, double headroom, boolean trialRunning) {

    /**
     * Reduction of the headroom ratio that is too small to matter; to throttle or move a best-effort task that causes
     * no more than this gains nothing.
     */
    static final double NEGLIGIBLE_COST = 0.08;

    /**
     * Below this headroom ratio a task may already be over its target, given the noise of the measurements, and no more
     * best-effort tasks are placed beside it.
     */
    private static final double MIN_HEADROOM = 1.25;

    /** Maximum cost that is assumed for a best-effort image with unknown cost, so that it can be tried. */
    private static final double MAX_TRIAL_COST = 1;

    /**
     * Returns the headroom ratio with one more best-effort task that uses a share of the worker: 0 if its cost is
     * unknown and another such task runs there already, {@link Double#MAX_VALUE} if its effect is
     * negligible and the remaining ratio is high enough.
     */
    double withBestEffortTask(String image, double share) {
        double cost = model.cost(image);
        if (!model.isCostKnown(image)) {
            if (trialRunning) {
                return 0;
            }
            cost = Math.min(cost, MAX_TRIAL_COST);
        }
        double remaining = headroom - share * cost;
        return share * cost <= NEGLIGIBLE_COST && remaining >= MIN_HEADROOM ? Double.MAX_VALUE : remaining;
    }
}
