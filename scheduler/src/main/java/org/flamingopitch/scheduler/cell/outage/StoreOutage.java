package org.flamingopitch.scheduler.cell.outage;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides from the transaction that is open whether the store is away. It answers the load of submissions that arrive
 * while the store is silent, resets connections or rejects calls: they would wait behind that transaction until their
 * callers' deadlines.
 *
 * <p>A store that answers slowly is not away: the time that a transaction may take follows the times of the last ones.
 */
public final class StoreOutage {

    /** An urgent caller can wait this long and still be served within its objective by another attempt. */
    private static final Duration MIN_PATIENCE = Duration.ofMillis(400);

    /** Leaves a caller that waits three seconds the time for another attempt. */
    private static final Duration MAX_PATIENCE = Duration.ofMillis(1_500);

    /** A transaction may take this many times the usual time. */
    private static final int TOLERATED_SLOWDOWN = 4;

    /** The weight of the last transaction in the usual time. */
    private static final double LAST_WEIGHT = 0.125;

    private double usualMillis;

    /** When the open transaction was sent for the first time; null if there is none. */
    private Instant sentAt;

    /**
     * Records that a transaction is sent for the first time.
     *
     * @param now the time
     */
    public void onSent(Instant now) {
        sentAt = now;
    }

    /**
     * Records that the outcome of the open transaction is known.
     *
     * @param now the time
     */
    public void onAnswered(Instant now) {
        double millis =
                Math.min(MAX_PATIENCE.toMillis(), Duration.between(sentAt, now).toMillis());
        usualMillis += LAST_WEIGHT * (millis - usualMillis);
        sentAt = null;
    }

    /**
     * Returns whether the store is away.
     *
     * @param now the time
     * @return whether the open transaction has been unanswered for too long
     */
    public boolean away(Instant now) {
        return elapsed(now).compareTo(patience()) >= 0;
    }

    /**
     * Returns how long the open transaction has been unanswered.
     *
     * @param now the time
     * @return the time, zero if no transaction is open
     */
    public Duration elapsed(Instant now) {
        return sentAt == null ? Duration.ZERO : Duration.between(sentAt, now);
    }

    private Duration patience() {
        Duration tolerated = Duration.ofMillis((long) (TOLERATED_SLOWDOWN * usualMillis));
        if (tolerated.compareTo(MIN_PATIENCE) < 0) {
            return MIN_PATIENCE;
        }
        return tolerated.compareTo(MAX_PATIENCE) > 0 ? MAX_PATIENCE : tolerated;
    }
}
