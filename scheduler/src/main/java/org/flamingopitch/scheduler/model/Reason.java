package org.flamingopitch.scheduler.model;

/** Why work was not run. */
public enum Reason {
    /** The process that was asked does not own the partition. */
    NOT_OWNER("the partition has another owner", true),
    /** The owner has just taken over. */
    RECOVERING("the owner is still reading back its state", true),
    /** The owner gives the partition to another process. */
    HANDING_OVER("the owner hands the partition over", true),
    /** The owner's lease ended before the work was sent. */
    LEASE_LAPSED("the owner's lease ended before the work was sent", true),
    /** The owner cannot be reached and nothing was sent. */
    OWNER_UNREACHABLE("the owner cannot be reached", true),
    /** The worker could not be reached and nothing was sent. */
    WORKER_UNREACHABLE("the worker cannot be reached", true),
    /** The queue in front of the rack is full. */
    QUEUE_FULL("the queue is full", false),
    /** No slot was free in time. */
    NO_CAPACITY("no slot was free in time", false),
    /** The store is away and the key cannot be recorded. */
    STORE_AWAY("the key cannot be recorded while the store is away", false),
    /** The caller went away before the work was sent. */
    CANCELLED("the caller went away", false),
    /** The process has no configuration yet, or does not know the kind. */
    NOT_CONFIGURED("the kind of work is not configured", false),
    /** The kind is deferrable and has to be submitted as a job. */
    DEFERRABLE_KIND("this kind of work is submitted as a job", false),
    /** The process is shutting down. */
    DRAINING("the entry host is shutting down", false);

    private final String text;

    private final boolean transientState;

    Reason(String text, boolean transientState) {
        this.text = text;
        this.transientState = transientState;
    }

    /**
     * Returns a sentence for people.
     *
     * @return the text
     */
    public String text() {
        return text;
    }

    /**
     * Tells whether another try may find another state.
     *
     * @return whether the router tries again by itself
     */
    public boolean retryable() {
        return transientState;
    }
}
