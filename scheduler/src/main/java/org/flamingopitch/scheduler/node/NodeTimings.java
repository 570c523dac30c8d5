package org.flamingopitch.scheduler.node;

import java.time.Duration;

/**
 * The times of the scheduler.
 *
 * @param transit the longest time for which a sent message may be under way
 * @param clockSkew how far the clocks of two hosts may differ
 * @param taskLease how long a task runs on without renewal
 * @param startLease how long after the decision a worker may still start a task
 * @param reportInterval the time between two reports of a worker
 * @param queryInterval the time between two questions about a running task
 * @param loadInterval the time between two messages about free room
 * @param routeRetryDelay the time before a request that certainly did not run is tried again
 */
public record NodeTimings(
        Duration transit,
        Duration clockSkew,
        Duration taskLease,
        Duration startLease,
        Duration reportInterval,
        Duration queryInterval,
        Duration loadInterval,
        Duration routeRetryDelay) {

    /**
     * Returns the timings for data centres with links of a few milliseconds.
     *
     * @return the defaults
     */
    public static NodeTimings defaults() {
        return new NodeTimings(
                Duration.ofMillis(300),
                Duration.ofMillis(250),
                Duration.ofSeconds(10),
                Duration.ofSeconds(3),
                Duration.ofMillis(500),
                Duration.ofSeconds(1),
                Duration.ofMillis(250),
                Duration.ofMillis(40));
    }
}
