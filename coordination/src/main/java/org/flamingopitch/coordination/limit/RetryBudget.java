package org.flamingopitch.coordination.limit;

/** Allows retries as a share of the first attempts, so that retries never multiply a flood. */
public final class RetryBudget {

    private final double retriesPerRequest;

    private final double burst;

    private double balance;

    /**
     * Creates a budget.
     *
     * @param retriesPerRequest how many retries each first attempt earns
     * @param burst how many retries can be saved up
     */
    public RetryBudget(double retriesPerRequest, double burst) {
        this.retriesPerRequest = retriesPerRequest;
        this.burst = burst;
        this.balance = burst;
    }

    /** Notes a first attempt. */
    public void recordRequest() {
        balance = Math.min(burst, balance + retriesPerRequest);
    }

    /**
     * Takes one retry.
     *
     * @return whether the budget allowed it
     */
    public boolean tryRetry() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
