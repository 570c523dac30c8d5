package org.flamingopitch.scheduler.model;

import org.flamingopitch.coordination.once.IdempotencyKey;

/**
 * The id of one attempt to run a job.
 *
 * @param job the idempotency key that identifies the job
 * @param attempt the number of the attempt, starting with 1
 */
public record TaskId(IdempotencyKey job, int attempt) implements Comparable<TaskId> {

    @Override
    public int compareTo(TaskId other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(attempt, other.attempt);
    }

    @Override
    public String toString() {
        return job + "#" + attempt;
    }
}
