package org.flamingopitch.standins.worker;

import java.time.Instant;

/**
 * A task to start.
 *
 * @param task the task
 * @param kind the kind of work
 * @param size what it takes
 * @param payload the job
 * @param resumePoint where to resume, or empty
 * @param leaseUntil when it must stop unless the lease is renewed; it must not start later
 */
public record TaskOrder(
        TaskKey task, String kind, TaskSize size, byte[] payload, String resumePoint, Instant leaseUntil) {}
