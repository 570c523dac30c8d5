package org.flamingopitch.coordination.limit;

/** Limits retries to a share of the first attempts, so that retries cannot multiply an overload. */
public final class RetryBudget {

    private final double retriesPerRequest;

    private final double maxSavedRetries;

    private double savedRetries;

    /**
     * Creates a budget.
     *
     * @param retriesPerRequest how many retries each first attempt adds to the budget
     * @param maxSavedRetries how many retries the budget holds at most, and at the start
     */
    public RetryBudget(double retriesPerRequest, double maxSavedRetries) {
        this.retriesPerRequest = retriesPerRequest;
        this.maxSavedRetries = maxSavedRetries;
        this.savedRetries = maxSavedRetries;
    }

    /** Adds the share of one first attempt to the budget. */
    public void recordRequest() {
        savedRetries = Math.min(maxSavedRetries, savedRetries + retriesPerRequest);
    }

    /**
     * Takes one retry from the budget if it holds one.
     *
     * @return whether the retry is allowed
     */
    public boolean tryRetry() {
        if (savedRetries < 1) {
            return false;
        }
        savedRetries -= 1;
        return true;
    }
}
