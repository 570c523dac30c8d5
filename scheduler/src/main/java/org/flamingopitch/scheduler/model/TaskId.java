package org.flamingopitch.scheduler.model;

import org.flamingopitch.coordination.once.IdempotencyKey;

/**
 * Names one attempt at a job.
 *
 * @param job the job's key
 * @param attempt counts from 1
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
