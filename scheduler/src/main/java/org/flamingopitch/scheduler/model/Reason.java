package org.flamingopitch.scheduler.model;

/** The reason why a request was not run or a job command was refused. */
public enum Reason {
    /** The process that received the request does not own the partition. */
    NOT_OWNER("the partition has another owner", true),
    /** The owner has taken over and is still restoring its state. */
    RECOVERING("the owner is still reading back its state", true),
    /** The owner is handing the partition over to another process. */
    HANDING_OVER("the owner hands the partition over", true),
    /** The owner's lease ended before the work was sent. */
    LEASE_LAPSED("the owner's lease ended before the work was sent", true),
    /** The owner cannot be reached and nothing was sent. */
    OWNER_UNREACHABLE("the owner cannot be reached", true),
    /** The worker could not be reached and nothing was sent. */
    WORKER_UNREACHABLE("the worker cannot be reached", true),
    /** The queue of the rack is full. */
    QUEUE_FULL("the queue is full", false),
    /** No slot became free before the deadline. */
    NO_CAPACITY("no slot was free in time", false),
    /** The store is unreachable and the key cannot be recorded. */
    STORE_AWAY("the key cannot be recorded while the store is away", false),
    /** The caller disconnected before the work was sent. */
    CANCELLED("the caller went away", false),
    /** The process has no configuration yet, or the configuration does not contain the kind. */
    NOT_CONFIGURED("the kind of work is not configured", false),
    /** The kind is deferrable and has to be submitted as a job. */
    DEFERRABLE_KIND("this kind of work is submitted as a job", false),
    /** The process is shutting down. */
    DRAINING("the entry host is shutting down", false);

    private final String text;

    private final boolean retryable;

    Reason(String text, boolean retryable) {
        this.text = text;
        this.retryable = retryable;
    }

    /**
     * Returns the human-readable text that is sent to the caller.
     *
     * @return the text
     */
    public String text() {
        return text;
    }

    /**
     * Returns whether the state is temporary, so that a retry may succeed.
     *
     * @return whether the router retries the call itself
     */
    public boolean retryable() {
        return retryable;
    }
}
