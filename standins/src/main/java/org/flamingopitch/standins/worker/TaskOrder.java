package org.flamingopitch.standins.worker;

import java.time.Instant;

/**
 * A request to start a task.
 *
 * @param task the task
 * @param kind the kind of work
 * @param size the resources that the task uses
 * @param payload the payload of the job
 * @param resumePoint the checkpoint to resume from, or empty to start from the beginning
 * @param leaseUntil the end of the lease: the task does not start afterwards and stops then unless it is renewed
 */
public record TaskOrder(
        TaskKey task, String kind, TaskSize size, byte[] payload, String resumePoint, Instant leaseUntil) {}
