package org.flamingopitch.scheduler.node;

import java.time.Duration;

/**
 * The timings of requests, tasks and reports.
 *
 * @param maxTransitTime the maximum time for which a sent message may be in transit
 * @param clockSkew the maximum difference between the clocks of two hosts
 * @param taskLease the time after which a task stops unless its lease is renewed
 * @param startLease the time after the placement decision during which a worker may start a task
 * @param reportInterval the time between two report requests to a worker
 * @param queryInterval the time between a shard's queries about a running task
 * @param loadReportInterval the time between two messages with the free slots of racks
 * @param routeRetryDelay the delay before a call is retried that found no owner or lost its connection
 */
public record NodeTimings(
        Duration maxTransitTime,
        Duration clockSkew,
        Duration taskLease,
        Duration startLease,
        Duration reportInterval,
        Duration queryInterval,
        Duration loadReportInterval,
        Duration routeRetryDelay) {

    /**
     * Returns the timings for networks with a latency of a few milliseconds.
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
