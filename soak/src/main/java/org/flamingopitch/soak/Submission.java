package org.flamingopitch.soak;

/** A job from its caller's point of view. Guarded by the {@link Ledger}. */
final class Submission {

    private static final long NEVER = Long.MAX_VALUE;

    private final JobPlan plan;

    private boolean inDoubt;

    private long acceptedAt = NEVER;

    private boolean cancelSent;

    private long cancelledAt = NEVER;

    Submission(JobPlan plan) {
        this.plan = plan;
    }

    JobPlan plan() {
        return plan;
    }

    /** Records the answer to an attempt; status 0 means that there was none. */
    void answered(int status, long at) {
        if (status / 100 == 2) {
            acceptedAt = Math.min(acceptedAt, at);
        } else if (status != 429 && status != 503 && status != 404) {
            inDoubt = true;
        }
    }

    void sendCancel() {
        cancelSent = true;
    }

    void cancelAcknowledged(long at) {
        cancelledAt = Math.min(cancelledAt, at);
    }

    boolean accepted() {
        return acceptedAt != NEVER;
    }

    boolean acceptedBefore(long at) {
        return acceptedAt < at;
    }

    boolean rejected() {
        return !accepted() && !inDoubt;
    }

    boolean cancelSent() {
        return cancelSent;
    }

    boolean cancelledBefore(long at) {
        return cancelledAt < at;
    }
}
