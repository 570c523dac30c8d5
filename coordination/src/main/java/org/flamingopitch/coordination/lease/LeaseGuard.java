package org.flamingopitch.coordination.lease;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells until when this process may act as a holder. Each renewal counts from the moment at which it was sent, less a
 * margin, so that the guard ends before the store's lease does.
 */
public final class LeaseGuard {

    private final Duration margin;

    private Instant validUntil = Instant.EPOCH;

    /**
     * Creates a guard that is not valid yet.
     *
     * @param margin how much earlier than the lease the guard ends
     */
    public LeaseGuard(Duration margin) {
        this.margin = margin;
    }

    /**
     * Notes a renewal or a promise of all peers.
     *
     * @param sentAt when the call was sent
     * @param timeToLive how long the lease lasts from then on
     */
    public void renewed(Instant sentAt, Duration timeToLive) {
        Instant end = sentAt.plus(timeToLive).minus(margin);
        if (end.isAfter(validUntil)) {
            validUntil = end;
        }
    }

    /** Ends the guard at once. */
    public void end() {
        validUntil = Instant.EPOCH;
    }

    /**
     * Returns the end of the guard; an effect must not leave the process after it.
     *
     * @return the end
     */
    public Instant validUntil() {
        return validUntil;
    }

    /**
     * Tells whether the holder may act.
     *
     * @param now the current time
     * @return whether the guard has not ended
     */
    public boolean validAt(Instant now) {
        return now.isBefore(validUntil);
    }
}
