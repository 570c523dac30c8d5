package org.flamingopitch.coordination.lease;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the time during which this process may act as the holder of a lease. The time counts from when the last renewal
 * was sent and is shortened by a margin, so that the guard ends before the lease expires in the store.
 */
public final class LeaseGuard {

    private final Duration margin;

    private Instant validUntil = Instant.EPOCH;

    /**
     * Creates a guard that is not yet valid.
     *
     * @param margin how much earlier than the lease the guard ends
     */
    public LeaseGuard(Duration margin) {
        this.margin = margin;
    }

    /**
     * Extends the guard after a renewal of the lease, or after all peers have promised not to take over.
     *
     * @param sentAt when the renewal or the request for promises was sent
     * @param timeToLive how long the lease or the promises last from then on
     */
    public void extend(Instant sentAt, Duration timeToLive) {
        Instant end = sentAt.plus(timeToLive).minus(margin);
        if (end.isAfter(validUntil)) {
            validUntil = end;
        }
    }

    /** Ends the guard immediately. */
    public void end() {
        validUntil = Instant.EPOCH;
    }

    /**
     * Returns the end of the guard. After it the process must not send messages or write to the store as the holder.
     *
     * @return the end, exclusive
     */
    public Instant validUntil() {
        return validUntil;
    }

    /**
     * Returns whether the holder may act at a time.
     *
     * @param now the current time
     * @return whether the time is before the end of the guard
     */
    public boolean validAt(Instant now) {
        return now.isBefore(validUntil);
    }
}
