package org.flamingopitch.scheduler.cell.port;

/**
 * Withdraws an order that waits for a connection. An order that has left is not affected. Safe for use by several
 * threads.
 */
public final class OrderWithdrawal {

    private volatile boolean withdrawn;

    /** Withdraws the order: unless it has left, it is never sent, and answered with {@link WorkerAnswer.NotSent}. */
    public void withdraw() {
        withdrawn = true;
    }

    /**
     * Returns whether the order must no longer be sent.
     *
     * @return whether it was withdrawn
     */
    public boolean withdrawn() {
        return withdrawn;
    }
}
