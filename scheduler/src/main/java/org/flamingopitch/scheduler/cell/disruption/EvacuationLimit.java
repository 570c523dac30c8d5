package org.flamingopitch.scheduler.cell.disruption;

import java.time.Duration;

/**
 * Limits the lease of start orders, so that a start that is carried out late still begins before the limit of an
 * evacuation that was requested just after the start was sent. Handles orders that are delayed on their way to a worker
 * that the owner cannot reach any more to stop them; a worker rejects a start whose lease has ended.
 */
public final class EvacuationLimit {

    /**
     * Allows for the time from the request of an evacuation to the moment at which the owner knows of it, while the store
     * answers: the store notifies a watch within milliseconds, and a failed call is repeated after 300 ms.
     */
    private static final Duration NOTICE_MARGIN = Duration.ofSeconds(1);

    /** The owner extends the lease with the first poll after a start; a shorter lease might end before. */
    private static final Duration MIN_START_LEASE = Duration.ofSeconds(2);

    private EvacuationLimit() {}

    /**
     * Returns the lease that a start order grants.
     *
     * @param maxLease the longest lease that a worker grants
     * @param evacuationLimit from when after the request no task may start in an evacuated data centre; zero if the
     *     deployment has no evacuations
     * @return the lease
     */
    public static Duration startLease(Duration maxLease, Duration evacuationLimit) {
        if (evacuationLimit.isZero()) {
            return maxLease;
        }
        Duration limited = evacuationLimit.minus(NOTICE_MARGIN);
        Duration lease = limited.compareTo(MIN_START_LEASE) < 0 ? MIN_START_LEASE : limited;
        return lease.compareTo(maxLease) < 0 ? lease : maxLease;
    }
}
