package org.flamingopitch.coordination.membership;

import java.time.Duration;

/**
 * The timings of a process's lease and of the extension of ownership during an outage of the store.
 *
 * @param timeToLive how long the lease lasts in the store after a renewal
 * @param renewInterval the time from the answer of one renewal to the next renewal
 * @param margin how much earlier than the store's lease the process's own guard ends
 * @param promiseDuration how long a peer's promise not to take over lasts, from the request
 * @param outageBound how long ownership may be extended at most while the store is unreachable
 */
public record LeaseTimings(
        Duration timeToLive, Duration renewInterval, Duration margin, Duration promiseDuration, Duration outageBound) {

    /**
     * Returns the default timings, which suit a few dozen processes.
     *
     * @return the default timings
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
