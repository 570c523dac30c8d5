package org.flamingopitch.scheduler.cell.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;

/** Logs and measures how long this host has known of no owner of the cell. While there is none, no owner logs anything. */
final class NoOwnerLogger {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Shorter times are usual after the end of an owner, whose lease lasts for 2 s. */
    private static final Duration NOTICEABLE_TIME = Duration.ofSeconds(3);

    private static final Duration LOG_INTERVAL = Duration.ofSeconds(2);

    private final OwnerMetrics metrics;

    /** Since when no owner has been known, null while one is. */
    private Instant since;

    private Instant lastLoggedAt = Instant.MIN;

    NoOwnerLogger(OwnerMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Updates the time without an owner; called at each tick.
     *
     * @param ownerKnown whether this host owns the cell or knows of another owner
     * @param storeUnreachable whether the last call that reads or watches the owner's key failed
     * @param draining whether this host takes part in no election any more
     */
    void update(boolean ownerKnown, boolean storeUnreachable, boolean draining, Instant now) {
        if (ownerKnown) {
            if (since != null) {
                since = null;
                metrics.recordTimeWithoutOwner(Duration.ZERO);
            }
            return;
        }
        since = since == null ? now : since;
        Duration time = Duration.between(since, now);
        metrics.recordTimeWithoutOwner(time);
        if (time.compareTo(NOTICEABLE_TIME) >= 0 && !now.isBefore(lastLoggedAt.plus(LOG_INTERVAL))) {
            lastLoggedAt = now;
            LOGGER.atWarning().log(
                    "event=no_owner ms=%d store_unreachable=%s draining=%s",
                    time.toMillis(), storeUnreachable, draining);
        }
    }
}
