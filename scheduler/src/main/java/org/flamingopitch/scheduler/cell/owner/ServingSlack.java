package org.flamingopitch.scheduler.cell.owner;

/**
 * The least slack of the tasks of one serving image on a worker, beside what fills there.
 *
 * @param model how the image responds to tasks beside it
 * @param slack the slack now
 * @param trialRuns whether a task fills there of which it is not known how much it disturbs
 */
record ServingSlack(ResponseModel model, double slack, boolean trialRuns) {

    /** Slack that a task takes off without a difference that matters; keeping it away would gain nothing. */
    static final double HARMLESS = 0.08;

    /** Nothing more is placed beside a task that may be over its target, as far as rough figures tell. */
    private static final double LEAST_SLACK = 1.25;

    /** The cost with which a pair that is not known is tried. */
    private static final double TRIAL_COST = 1;

    /** Returns the slack with one more task that takes a share of the worker; any, if that makes no difference. */
    double beside(String filling, double share) {
        double cost = model.cost(filling);
        if (!model.known(filling)) {
            if (trialRuns) {
                return 0;
            }
            cost = Math.min(cost, TRIAL_COST);
        }
        double left = slack - share * cost;
        return share * cost <= HARMLESS && left >= LEAST_SLACK ? Double.MAX_VALUE : left;
    }
}
