package org.flamingopitch.coordination.membership;

import java.time.Duration;

/**
 * The times that a lease of a process rests on.
 *
 * @param timeToLive how long the store keeps the lease without renewal
 * @param renewInterval the time between renewals
 * @param margin how much earlier than the lease the guard ends
 * @param promise how long a peer's promise not to take over lasts
 * @param outageBound how long owners go on without the store at most
 */
public record LeaseTimings(
        Duration timeToLive, Duration renewInterval, Duration margin, Duration promise, Duration outageBound) {

    /**
     * Returns the timings for a few dozen processes.
     *
     * @return the defaults
     */
    public static LeaseTimings defaults() {
        return new LeaseTimings(
                Duration.ofMillis(2400),
                Duration.ofMillis(1000),
                Duration.ofMillis(200),
                Duration.ofMillis(2000),
                Duration.ofMinutes(5));
    }
}
